/**
 * A scheduler: places the requests of all entries for each service whose
 * lease it holds, and stands by for the others. It carries no traffic, and
 * keeps nothing that must last.
 */
import type { Daemon } from "../daemon/types.js";
import { Supervisor } from "../tasks/index.js";
import type { GatewayParts } from "./parts.js";
import { GatewayState } from "./gatewayState.js";
import { createPlacementRole } from "./placementRole.js";
import type { KeyBounds, UsageWindows } from "../workspaces/index.js";
import { RateLimits } from "../rateLimits/index.js";
import { ReplicaClient } from "./replicaClient.js";
import { watchStore } from "./storeWatch.js";
import { UpstreamClient } from "./upstreamClient.js";

export interface SchedulerSettings {
  /** Name of this process, unique in the fleet. */
  id: string;
  /** Where entries reach it. */
  peerAddress: string;
  /** Processor time of its VM, in cores. */
  processorShare: number;
  /** Time that orders of two holders must lie apart, ms. */
  leaseMs: number;
  /** After a cut from the store has healed, it knows the news by then, ms. */
  catchUpMs: number;
  keyBounds: KeyBounds;
  /** Undefined where the platform wants no usage report. */
  usage: UsageWindows | undefined;
}

export const startScheduler = async (
  settings: SchedulerSettings,
  parts: GatewayParts,
): Promise<Daemon> => {
  const { codec, source, feed, log, metrics, rng, now, leaseNow } = parts;
  const { id } = settings;
  const supervisor = new Supervisor(log);
  const upstream = new UpstreamClient();
  const state = new GatewayState(source, log, now, leaseNow, () => undefined);
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
  const role = await createPlacementRole({
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
    feed,
    client,
    rates,
    codec,
    log,
    now,
  });
  const isHolder = () =>
    state.engineServices().some((name) => role.placement.isHolder(name));
  // A standby needs to know no more than which services there are.
  watchStore(supervisor, parts, state, settings.catchUpMs, {
    config: () => state.routes === undefined || isHolder(),
    replicas: isHolder,
  });
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
