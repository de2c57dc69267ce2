/**
 * Tasks of the process that holds a service's lease, besides placement: it
 * queries the engines' cache contents and orders stage changes.
 */
import type { LocalPlacement, SharedPlacement } from "../placement/index.js";
import type { RateLimits } from "../rateLimits/index.js";
import type { Supervisor } from "../tasks/index.js";
import type { Log } from "../telemetry/index.js";
import { CacheListLoader } from "./cacheListLoader.js";
import type { GatewayState } from "./gatewayState.js";
import type { ReplicaClient } from "./replicaClient.js";
import type { RequestCodec } from "./requestCodec.js";
import { StageController } from "./stageController.js";

export interface LeaseHolderTasksOptions {
  /** Id of the process. */
  id: string;
  /** Minimum time between the orders of two successive holders, ms. */
  orderLeaseMs: number;
  /** Services whose leases this process holds or tries to acquire. */
  services(): string[];
  state: GatewayState;
  local: LocalPlacement;
  placement: SharedPlacement;
  client: ReplicaClient;
  rates: RateLimits;
  codec: RequestCodec;
  log: Log;
  now: () => number;
}

export class LeaseHolderTasks {
  private readonly cacheLists: CacheListLoader;
  private readonly stageControllers = new Map<string, StageController>();

  constructor(private readonly options: LeaseHolderTasksOptions) {
    const { replicas } = options.state;
    this.cacheLists = new CacheListLoader({ ...options, replicas });
  }

  /**
   * Runs both tasks every `periodMs`. They are separate, so that an engine that
   * is slow to list its cache does not delay stage orders.
   */
  start(supervisor: Supervisor, periodMs: number): void {
    supervisor.every("engine cache lists", periodMs, () =>
      this.loadCacheLists(),
    );
    supervisor.every("stage changes", periodMs, () => this.stepStages());
  }

  private heldServices(): string[] {
    const { services, placement } = this.options;
    return services().filter((name) => placement.isHolder(name));
  }

  private async loadCacheLists(): Promise<void> {
    const { state, placement } = this.options;
    if (!state.isReady) return;
    for (const service of this.heldServices()) {
      await this.cacheLists.step(service, placement.epoch(service));
    }
  }

  private async stepStages(): Promise<void> {
    for (const service of this.heldServices()) {
      const controller =
        this.stageControllers.get(service) ?? this.newStageController(service);
      this.stageControllers.set(service, controller);
      // Placement requests refresh the engine list too. When there are none, the
      // planner would see the stages from before its own orders and repeat them.
      this.options.local.refresh(service);
      await controller.step();
    }
  }

  private newStageController(service: string): StageController {
    const { id, orderLeaseMs, state, local, placement, ...rest } = this.options;
    const { client, rates, codec, log, now } = rest;
    return new StageController({
      service,
      self: id,
      leaseMs: orderLeaseMs,
      scheduler: local.scheduler(service),
      replicas: state.replicas,
      authority: placement,
      client,
      rates,
      codec,
      log,
      now,
    });
  }
}
