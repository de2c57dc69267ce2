/**
 * What a process does for a service while it holds its lease, besides
 * placing: it asks engines what their caches hold, and orders stages.
 */
import type { LocalPlacement, SharedPlacement } from "../placement/index.js";
import type { RateLimits } from "../rateLimits/index.js";
import type { Supervisor } from "../tasks/index.js";
import type { Log } from "../telemetry/index.js";
import { CacheSurvey } from "./cacheSurvey.js";
import type { GatewayState } from "./gatewayState.js";
import type { ReplicaClient } from "./replicaClient.js";
import type { RequestCodec } from "./requestCodec.js";
import { StageKeeper } from "./stageKeeper.js";

export interface HolderWorkOptions {
  /** Name of the process. */
  id: string;
  /** Time that orders of two holders must lie apart, ms. */
  orderLeaseMs: number;
  /** Services whose leases it keeps or seeks. */
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

export class HolderWork {
  private readonly survey: CacheSurvey;
  private readonly keepers = new Map<string, StageKeeper>();

  constructor(private readonly options: HolderWorkOptions) {
    const { replicas } = options.state;
    this.survey = new CacheSurvey({ ...options, replicas });
  }

  /** Steps each `periodMs`; a slow engine holds up no order of stage. */
  start(supervisor: Supervisor, periodMs: number): void {
    supervisor.every("caches of engines", periodMs, () => this.askCaches());
    supervisor.every("stages", periodMs, () => this.stepStages());
  }

  private held(): string[] {
    const { services, placement } = this.options;
    return services().filter((name) => placement.isHolder(name));
  }

  private async askCaches(): Promise<void> {
    const { state, placement } = this.options;
    if (!state.isReady) return;
    for (const service of this.held()) {
      await this.survey.step(service, placement.epoch(service));
    }
  }

  private async stepStages(): Promise<void> {
    for (const service of this.held()) {
      const keeper = this.keepers.get(service) ?? this.newKeeper(service);
      this.keepers.set(service, keeper);
      // Asks bring the list as well; while there are none, the planner would
      // go by the stages of before its own orders, and order on and on.
      this.options.local.refresh(service);
      await keeper.step();
    }
  }

  private newKeeper(service: string): StageKeeper {
    const { id, orderLeaseMs, state, local, placement, ...rest } = this.options;
    const { client, rates, codec, log, now } = rest;
    return new StageKeeper({
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
