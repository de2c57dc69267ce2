/**
 * What a process needs to place requests together with others: the lease,
 * the schedulers, the server for others, and orders of stage while it holds
 * the lease.
 */
import {
  LocalPlacement,
  PlacementServer,
  SharedPlacement,
} from "../placement/index.js";
import type { RateLimits } from "../rateLimits/index.js";
import type { ObjectFeed } from "../store/index.js";
import type { Supervisor } from "../tasks/index.js";
import type { Log } from "../telemetry/index.js";
import type { DutyPort, KeyBounds, UsageWindows } from "../workspaces/index.js";
import { FleetDuties } from "./fleetDuties.js";
import type { GatewayState } from "./gatewayState.js";
import { HolderWork } from "./holderWork.js";
import { KeyProof } from "./keyProof.js";
import type { ReplicaClient } from "./replicaClient.js";
import type { RequestForm } from "./requestForm.js";

/**
 * Lease of placing, ms. Shorter than that of orders: placing needs no
 * authority, and entries place by guess until a lost holder is replaced.
 */
const PLACEMENT_LEASE_MS = 1500;
/** Period of keeping leases, planning stages and dropping lost grants, ms. */
const STEP_MS = 300;
/** An entry leaves the lease to schedulers for so many lease times, … */
const ENTRY_PATIENCE_LEASES = 3;
/**
 * … unless it has so many cores for placing: what a holder of a large fleet
 * takes.
 */
const HOLDER_CORES = 0.6;

/** What a process does besides placing. */
export type PlacementHost = "entry" | "scheduler";

export interface PlacementRoleOptions {
  host: PlacementHost;
  /** Name of the process. */
  id: string;
  peerAddress: string;
  /** Processor time that it has for placing, in cores. */
  capacity: number;
  /** Time that orders of two holders must lie apart, ms. */
  orderLeaseMs: number;
  keyBounds: KeyBounds;
  /** Undefined where the platform wants no usage report. */
  usage: UsageWindows | undefined;
  duties: DutyPort | undefined;
  wallNow: () => number;
  /** For leases and proofs; see `newLeaseClock`. */
  leaseNow: () => number;
  /** Services whose leases it keeps or seeks. */
  services(): string[];
  state: GatewayState;
  feed: ObjectFeed;
  client: ReplicaClient;
  rates: RateLimits;
  form: RequestForm;
  log: Log;
  now: () => number;
}

export interface PlacementRole {
  placement: SharedPlacement;
  /** Where others reach it. */
  peerAddress: string;
  /** A request of a workspace began to run `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void;
  start(supervisor: Supervisor): void;
  stop(): void;
}

export const createPlacementRole = async (
  options: PlacementRoleOptions,
): Promise<PlacementRole> => {
  const { host, id, services, state, feed, client, rates, log, now } = options;
  const isPatient = host === "entry" && options.capacity < HOLDER_CORES;
  const patienceMs = isPatient ? PLACEMENT_LEASE_MS * ENTRY_PATIENCE_LEASES : 0;
  let address = options.peerAddress;
  const local: LocalPlacement = new LocalPlacement({
    engines: (service) => state.engines(service),
    sharingProcesses: (service) => placement.sharingProcesses(service),
    permits: rates,
    log,
    now,
  });
  const placement: SharedPlacement = new SharedPlacement({
    local,
    rates,
    feed,
    self: id,
    isStandby: host === "scheduler",
    address: () => address,
    leaseMs: PLACEMENT_LEASE_MS,
    acquireDelayMs: patienceMs,
    capacity: options.capacity,
    connectedEntries: (service) => peers.entryCount(service),
    onHolderConnected: (service) => duties?.onHolder(service),
    onConfig: (news, sentAt) => state.onConfigNews(news, sentAt),
    log,
    now,
    leaseNow: options.leaseNow,
  });
  const peers: PlacementServer = new PlacementServer({
    placement: local,
    isEntry: host === "entry",
    isHolder: (service) => placement.isHolder(service) && state.isReady,
    isFresh: (service) => placement.isFresh(service),
    leaseVersion: (service) => placement.leaseVersion(service),
    configUpdate: (known) => state.configNews(known),
    onEngineLeaving: (engine) => state.replicas.signals.leave(engine, now()),
    onUsage: (process, window) => duties?.onTold(process, window),
    rates: () => rates.activeLimits(now()),
    onRate: (news) => placement.permits.applyUpdates([news]),
    acquirePermit: (replica) => placement.permits.acquireLocally(replica),
    log,
  });
  const serviceOf = (replica: string): string =>
    state.replicas.get(replica)?.service ?? "";
  rates.shareOf = (replica) => placement.permits.share(serviceOf(replica));
  client.onRate = (news) =>
    placement.permits.reportRate(serviceOf(news.replica), news);
  const duties = newDuties(options, placement);
  address = await peers.listen(options.peerAddress);
  const work = new HolderWork({ ...options, local, placement });
  const keyProof = new KeyProof(state, placement, options.keyBounds);
  const step = async (): Promise<void> => {
    state.expire();
    local.expire();
    for (const service of services()) {
      if (!placement.isHolder(service)) continue;
      peers.notifyStandbys(service);
      peers.notifyEntriesOfRates(service);
    }
    await placement.step(services());
  };
  const start = (supervisor: Supervisor): void => {
    supervisor.every("placement", STEP_MS, step);
    work.start(supervisor, STEP_MS);
    duties?.start(supervisor);
    if (host === "entry") keyProof.start(supervisor);
  };
  const stop = (): void => {
    placement.close();
    peers.close();
  };
  const onBegun = (workspace: string, agoMs: number): void =>
    duties?.onBegun(workspace, agoMs);
  return { placement, peerAddress: address, onBegun, start, stop };
};

const newDuties = (
  options: PlacementRoleOptions,
  placement: SharedPlacement,
): FleetDuties | undefined => {
  const { id, usage, duties, orderLeaseMs, services, ...rest } = options;
  if (usage === undefined || duties === undefined) return undefined;
  const { feed, log, now, wallNow } = rest;
  return new FleetDuties({
    self: id,
    windows: usage,
    port: duties,
    leaseMs: orderLeaseMs,
    services,
    placement,
    feed,
    log,
    now,
    wallNow,
  });
};
