/**
 * Scheduler process: places the requests of all entries for each service whose
 * lease it holds, and is a standby for the other services. It carries no
 * traffic and stores nothing durable.
 */
import type { Daemon } from "../daemon/types.js";
import { Supervisor } from "../tasks/index.js";
import type { GatewayDependencies } from "./gatewayDependencies.js";
import { GatewayState } from "./gatewayState.js";
import { createPlacementRole } from "./placementRole.js";
import type { PlacementRole } from "./placementRole.js";
import type { KeyBounds, UsageWindows } from "../workspaces/index.js";
import { RateLimits } from "../rateLimits/index.js";
import { ReplicaClient } from "./replicaClient.js";
import { StoreWatches } from "./storeWatch.js";
import { UpstreamClient } from "./upstreamClient.js";

export interface SchedulerSettings {
  /** Id of this process, unique in the fleet. */
  id: string;
  /** Address at which entries reach it. */
  peerAddress: string;
  /** Processor time available on its VM, in cores. */
  processorShare: number;
  /** Minimum time between the orders of two successive holders, ms. */
  leaseMs: number;
  /** Maximum time to catch up after the store is reachable again, ms. */
  catchUpMs: number;
  keyBounds: KeyBounds;
  /** Undefined if the platform requires no usage reports. */
  usage: UsageWindows | undefined;
  /** How long a replica keeps serving after its leaving signal, ms. */
  drainMs: number;
}

export const startScheduler = async (
  settings: SchedulerSettings,
  parts: GatewayDependencies,
): Promise<Daemon> => {
  const { codec, source, feed, log, metrics, rng, now, leaseNow } = parts;
  const { id } = settings;
  const supervisor = new Supervisor(log);
  const upstream = new UpstreamClient();
  const state = new GatewayState(source, log, now, leaseNow, () => undefined, {
    drainMs: settings.drainMs,
  });
  const { replicas } = state;
  const rates = new RateLimits(rng);
  const client = new ReplicaClient({
    client: upstream,
    replicas,
    rates,
    codec,
    log,
    metrics,
    now,
  });
  const isHolder = () =>
    state.engineServices().some((name) => role.placement.isHolder(name));
  // A standby only needs the names of the services.
  const watches = new StoreWatches(parts, state, settings.catchUpMs, {
    config: () => state.routes === undefined || isHolder(),
    replicas: isHolder,
  });
  const role: PlacementRole = await createPlacementRole({
    host: "scheduler",
    id,
    peerAddress: settings.peerAddress,
    capacity: settings.processorShare,
    orderLeaseMs: settings.leaseMs,
    keyBounds: settings.keyBounds,
    usage: settings.usage,
    duties: parts.duties,
    wallNow: parts.wallNow,
    leaseNow,
    services: () => state.engineServices(),
    state,
    watches,
    feed,
    source,
    client,
    rates,
    codec,
    log,
    metrics,
    rng,
    now,
  });
  watches.start(supervisor);
  role.start(supervisor);
  log.info("started", { peers: role.peerAddress });
  const stop = async () => {
    supervisor.stop();
    role.stop();
    upstream.close();
    log.info("stopped");
  };
  return { addresses: { peers: role.peerAddress }, stop };
};
