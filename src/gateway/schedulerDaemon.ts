/**
 * A scheduler: places the requests of all entries for one service while it
 * holds the service's lease, and stands by otherwise. It carries no traffic,
 * and keeps nothing that must last.
 */
import type { Daemon } from "../daemon/types.js";
import { Supervisor } from "../tasks/index.js";
import type { GatewayParts } from "./parts.js";
import { GatewayState } from "./gatewayState.js";
import { createPlacementRole } from "./placementRole.js";
import { watchStore } from "./storeWatch.js";
import { UpstreamClient } from "./upstreamClient.js";

export interface SchedulerSettings {
  /** Name of this process, unique in the fleet. */
  id: string;
  /** The service whose requests it places. */
  service: string;
  /** Where entries reach it. */
  peerAddress: string;
  /** Time that orders of two holders must lie apart, ms. */
  leaseMs: number;
  /** After a cut from the store has healed, it knows the news by then, ms. */
  catchUpMs: number;
}

export const startScheduler = async (
  settings: SchedulerSettings,
  parts: GatewayParts,
): Promise<Daemon> => {
  const { form, source, feed, log, now } = parts;
  const { id, service } = settings;
  const supervisor = new Supervisor(log);
  const client = new UpstreamClient();
  const state = new GatewayState(source, log, now, () => undefined);
  const role = await createPlacementRole({
    host: "scheduler",
    id,
    peerAddress: settings.peerAddress,
    orderLeaseMs: settings.leaseMs,
    services: () => [service],
    state,
    feed,
    client,
    form,
    log,
    now,
  });
  const isHolder = () => role.placement.isHolder(service);
  watchStore(supervisor, parts, state, settings.catchUpMs, isHolder);
  role.start(supervisor);
  log.info("started", { service, peers: role.peerAddress });
  const stop = async () => {
    supervisor.stop();
    role.stop();
    client.close();
    log.info("stopped", { service });
  };
  return { addresses: { peers: role.peerAddress }, stop };
};
