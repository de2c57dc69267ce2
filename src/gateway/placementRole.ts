/**
 * What a process needs to place requests together with other processes: the
 * leases, the schedulers, the server for its peers, and stage orders while it
 * holds a lease.
 */
import {
  LocalPlacement,
  PlacementServer,
  SharedPlacement,
  StreamVersions,
} from "../placement/index.js";
import type { RateLimits } from "../rateLimits/index.js";
import { MIN_VOUCHED_ENTRIES } from "../store/index.js";
import type { ObjectFeed } from "../store/index.js";
import type { Supervisor } from "../tasks/index.js";
import type { Rng } from "../shared/rng.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { DutyPort, KeyBounds, UsageWindows } from "../workspaces/index.js";
import { UsageTracker } from "./usageTracker.js";
import type { GatewaySource, GatewayState } from "./gatewayState.js";
import type { StoreWatches } from "./storeWatch.js";
import { LeaseHolderTasks } from "./leaseHolderTasks.js";
import { ConfigProofRequester } from "./configProofRequester.js";
import type { ReplicaClient } from "./replicaClient.js";
import { ReplicaListReader } from "./replicaListReader.js";
import type { RequestCodec } from "./requestCodec.js";

/**
 * Duration of the placement lease, ms. It is shorter than the lease for orders:
 * placement needs no exclusive authority, and until a lost holder is replaced
 * entries place by their own estimates.
 */
const PLACEMENT_LEASE_MS = 1500;
/** Interval for renewing leases, planning stages and expiring grants, ms. */
const STEP_INTERVAL_MS = 300;
/**
 * An entry waits this many lease durations for a scheduler to take over, unless
 * it has at least `MIN_HOLDER_CORES`.
 */
const ENTRY_TAKEOVER_DELAY_LEASES = 3;
/** Cores for placement that the holder of a large fleet needs. */
const MIN_HOLDER_CORES = 0.6;

/** Type of the process that takes part in placement. */
export type PlacementHost = "entry" | "scheduler";

export interface PlacementRoleOptions {
  host: PlacementHost;
  /** Id of the process. */
  id: string;
  peerAddress: string;
  /** Processor time available for placement, in cores. */
  capacity: number;
  /** Minimum time between the orders of two successive holders, ms. */
  orderLeaseMs: number;
  keyBounds: KeyBounds;
  /** Undefined if the platform requires no usage reports. */
  usage: UsageWindows | undefined;
  duties: DutyPort | undefined;
  wallNow: () => number;
  /** Clock for leases and configuration proofs; see `newLeaseClock`. */
  leaseNow: () => number;
  /** Services whose leases this process holds or tries to acquire. */
  services(): string[];
  state: GatewayState;
  watches: StoreWatches;
  feed: ObjectFeed;
  source: GatewaySource;
  client: ReplicaClient;
  rates: RateLimits;
  codec: RequestCodec;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
}

export interface PlacementRole {
  placement: SharedPlacement;
  /** Address at which peers reach this process. */
  peerAddress: string;
  /** Counts a request of a workspace that began to run `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void;
  start(supervisor: Supervisor): void;
  stop(): void;
}

export const createPlacementRole = async (
  options: PlacementRoleOptions,
): Promise<PlacementRole> => {
  const { host, id, services, state, feed, client, rates, log, now } = options;
  const { watches } = options;
  const isTakeoverDelayed =
    host === "entry" && options.capacity < MIN_HOLDER_CORES;
  const patienceMs = isTakeoverDelayed
    ? PLACEMENT_LEASE_MS * ENTRY_TAKEOVER_DELAY_LEASES
    : 0;
  let address = options.peerAddress;
  const streams = new StreamVersions({
    listedVersions: (service) => state.replicas.listedVersions(service),
    watchedMs: () => state.replicaList.watchedMs,
    listAgeMs: () => state.replicaList.ageMs,
    maxAnswerMs: (service) => state.maxResumableMs(service),
    now,
  });
  state.onReplicasChanged = (service) => streams.observe(service);
  const replicaList = new ReplicaListReader({
    feed,
    source: options.source,
    position: () => watches.replicasPosition,
    onListed: (service, version) => streams.noteListed(service, [version]),
    log,
  });
  const local: LocalPlacement = new LocalPlacement({
    engines: (service) => state.engines(service),
    sharingProcesses: (service) => placement.sharingProcesses(service),
    permits: rates,
    mayBeTold: (service) => placement.mayBeTold(service),
    streams,
    metrics: options.metrics,
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
    onHolderReplaced: (service, news) => peers.notifyNewHolder(service, news),
    onConfig: (news, sentAt) => state.onConfigNews(news, sentAt),
    readReplicas: () => replicaList.read(),
    onHolderNews: (news) => watches.vouches.record(news, now()),
    log,
    metrics: options.metrics,
    rng: options.rng,
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
    seen: () => watches.seen(),
    onEngineLeaving: (engine) =>
      state.replicas.signals.markLeaving(engine, now()),
    onNewHolder: (service, news) => placement.onNewHolder(service, news),
    onUsage: (process, window) => duties?.recordCounts(process, window),
    rates: () => rates.activeLimits(now()),
    onRate: (news) => placement.permits.applyUpdates([news]),
    acquirePermit: (replica) => placement.permits.acquireLocally(replica),
    log,
  });
  watches.isVouching = () =>
    services().some(
      (service) =>
        placement.isHolder(service) &&
        peers.entryCount(service) >= MIN_VOUCHED_ENTRIES,
    );
  const serviceOf = (replica: string): string =>
    state.replicas.get(replica)?.service ?? "";
  rates.shareOf = (replica) => placement.permits.share(serviceOf(replica));
  client.onRateChange = (news) =>
    placement.permits.reportRate(serviceOf(news.replica), news);
  const duties = newDuties(options, placement);
  address = await peers.listen(options.peerAddress);
  const holderTasks = new LeaseHolderTasks({ ...options, local, placement });
  const proofRequester = new ConfigProofRequester(
    state,
    placement,
    options.keyBounds,
    watches,
  );
  const expire = async (): Promise<void> => {
    state.expire();
    local.expire();
  };
  const notifyPeers = async (): Promise<void> => {
    for (const service of services()) {
      if (!placement.isHolder(service)) continue;
      peers.notifyStandbys(service);
      peers.notifyOfOrigins(service);
      peers.notifyEntriesOfRates(service);
      peers.notifyEntriesOfRevisions(service);
    }
  };
  const start = (supervisor: Supervisor): void => {
    // Separate tasks: a lease renewal that the store answers slowly would delay
    // the others.
    supervisor.every("lease", STEP_INTERVAL_MS, () =>
      placement.step(services()),
    );
    supervisor.every("expiry", STEP_INTERVAL_MS, expire);
    supervisor.every("peer news", STEP_INTERVAL_MS, notifyPeers);
    holderTasks.start(supervisor, STEP_INTERVAL_MS);
    duties?.start(supervisor);
    if (host === "entry") proofRequester.start(supervisor);
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
): UsageTracker | undefined => {
  const { id, usage, duties, orderLeaseMs, services, ...rest } = options;
  if (usage === undefined || duties === undefined) return undefined;
  const { feed, log, now, wallNow } = rest;
  return new UsageTracker({
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
