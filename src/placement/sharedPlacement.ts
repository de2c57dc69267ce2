/**
 * Places requests through the gateway that holds a service's lease, and locally
 * while that one can't be reached. The local scheduler records every grant, so
 * that it knows at least this process's own load on the engines.
 */
import type {
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
  PrefillCost,
} from "../scheduling/index.js";
import type { RateLimits } from "../rateLimits/index.js";
import type { HolderNews, ObjectFeed } from "../store/index.js";
import type { Rng } from "../shared/rng.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { EntryAdmission } from "./entryAdmission.js";
import type { AdmissionDecision } from "./entryAdmission.js";
import { GrantsInUse } from "./grantsInUse.js";
import { HolderConnection } from "./holderConnection.js";
import { LeaseKeeper } from "./leaseKeeper.js";
import type { LeaseVersion, NewHolder } from "./leaseKeeper.js";
import type { LocalPlacement } from "./localPlacement.js";
import { PlacementClient } from "./placementClient.js";
import { CONCURRENT_STANDBYS } from "./placementServer.js";
import { RatePermits } from "./ratePermits.js";
import { ResumptionLog } from "./resumptionLog.js";
import {
  isUnboundResumption,
  refuseUnknownStream,
  withBinding,
} from "./streamVersions.js";
import { StreamProver } from "./streamProver.js";
import type { Placement } from "./types.js";
import type { ConfigNews, WindowCounts } from "../workspaces/index.js";

/** Entries assumed to share the engines while none have been counted. */
const ASSUMED_ENTRIES = 4;
/**
 * Fraction of the entries that an entry placing without the holder assumes to
 * be as busy as itself. Callers are not spread evenly, and a full engine
 * refuses by itself.
 */
const BUSY_FRACTION = 0.5;
/** Delay between groups of standbys, ms: as long as a takeover takes. */
const STANDBY_GROUP_DELAY_MS = 2000;

/**
 * How long a process with one core leaves the first lease of a service to
 * others, ms; with half a core it waits twice as long. Processes start within
 * half a second of each other, and the one with the most capacity must become
 * the holder: one with half a core answers a large fleet too late.
 */
const FIRST_ACQUIRE_DELAY_MS = 1500;
/** Upper bound of that delay, ms. */
const MAX_FIRST_ACQUIRE_DELAY_MS = 4000;

const firstAcquireDelayMs = (capacity: number): number =>
  Math.min(MAX_FIRST_ACQUIRE_DELAY_MS, FIRST_ACQUIRE_DELAY_MS / capacity);

export interface SharedPlacementOptions {
  local: LocalPlacement;
  rates: RateLimits;
  feed: ObjectFeed;
  /** Name of this process. */
  self: string;
  /** Address at which it places for others; known once it listens. */
  address(): string;
  leaseMs: number;
  /** How long it leaves a free lease to others, ms. */
  acquireDelayMs: number;
  /** Processor time available for placing, in cores. */
  capacity: number;
  /** Whether this process places no requests of its own. */
  isStandby: boolean;
  /** Entries that place through this process, including itself. */
  connectedEntries(service: string): number;
  /** Another process holds the lease and has accepted the connection. */
  onHolderConnected(service: string): void;
  /**
   * Another process has taken the lease from the holder followed so far, which
   * may be this process. Processes connected to this one must be notified.
   */
  onHolderReplaced(service: string, news: NewHolder): void;
  /** The holder's answer to a configuration request sent at `sentAt`. */
  onConfig(news: ConfigNews, sentAt: number): void;
  /**
   * Reads the replica list anew; the software versions of all replicas that
   * have been listed until then are known afterwards. False if that failed.
   */
  readReplicas(): Promise<boolean>;
  /** What a holder has seen of the store. */
  onHolderNews(news: HolderNews): void;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
  /** Like `now`, but includes machine suspensions. */
  leaseNow: () => number;
}

/** Time after which a holder has been told of all streams in progress, ms. */
const TOLD_AFTER_MS = 2000;

export class SharedPlacement implements Placement {
  private readonly connections = new Map<string, HolderConnection>();
  private readonly inUse = new GrantsInUse();
  private readonly resumptions: ResumptionLog;
  private readonly prover: StreamProver;
  /** Permits for the rate limits of replicas. */
  readonly permits: RatePermits;

  constructor(private readonly options: SharedPlacementOptions) {
    this.resumptions = new ResumptionLog(options);
    this.prover = new StreamProver(options);
    this.permits = new RatePermits({
      ...options,
      connections: this.connections,
    });
  }

  async place(asked: PlacementRequest): Promise<PlacementAnswer> {
    if (!isUnboundResumption(asked)) return this.placeBound(asked);
    const { streams } = this.options.local;
    const request = withBinding(asked, streams.ownBinding(asked));
    const answer = await this.placeResumption(request);
    this.resumptions.record(request, answer);
    return answer;
  }

  /**
   * Where nobody has a record of the stream, the list may prove that only one
   * version can have begun it.
   */
  private async placeResumption(
    request: PlacementRequest,
  ): Promise<PlacementAnswer> {
    const answer = await this.placeBound(request);
    const isUnknown =
      answer.kind === "refused" && answer.why === "unknown-stream";
    if (!isUnknown || !isUnboundResumption(request)) return answer;
    const proof = await this.prover.prove(request);
    switch (proof.kind) {
      case "several":
        return answer;
      case "unread":
        return proof.refusal;
      case "sole":
        return this.placeBound(proof.request);
    }
  }

  private async placeBound(
    request: PlacementRequest,
  ): Promise<PlacementAnswer> {
    const { local, now } = this.options;
    const connection = this.connections.get(request.service);
    const client = connection?.client;
    const decision = connection && this.admit(connection, request);
    if (decision?.kind === "refused") return decision;
    // Only the holder may know which version began the stream.
    const mayPlaceLocally = !isUnboundResumption(request);
    const answer =
      decision?.kind === "local" && mayPlaceLocally
        ? undefined
        : await client?.place(request);
    if (answer !== undefined && this.isUsable(request, answer)) {
      connection?.admission.recordAnswer(request.route, answer, now());
      if (answer.kind === "granted") local.adopt(request, answer);
      return this.inUse.record(request, answer);
    }
    const refusal = connection?.admission.refuseUnanswered(request, now());
    if (refusal !== undefined) return refusal;
    const own = await local.place(request);
    if (own.kind === "refused" && own.why === "unknown-stream")
      return refuseUnknownStream(request, this.mayBeTold(request.service));
    const { client: newest } = this.connections.get(request.service) ?? {};
    if (own.kind === "granted") newest?.reportHeldGrant(request, own, false);
    return this.inUse.record(request, own);
  }

  /**
   * Whether the answer respects the request's software version, by this
   * process's own list: a holder of an older build knows no versions, or takes
   * a version for the only one by a list that lags. The grant of one that
   * doesn't is reported as unused.
   */
  private isUsable(
    request: PlacementRequest,
    answer: PlacementAnswer,
  ): boolean {
    if (answer.kind === "refused") return true;
    const { id, service, runnerVersion, stream } = request;
    const version = runnerVersion ?? answer.origin?.version;
    if (version === undefined && !isUnboundResumption(request)) return true;
    const { local } = this.options;
    const granted = local.softwareVersionOf(service, answer.runner);
    const isProven =
      answer.origin?.source !== "sole-version" ||
      stream?.soleVersion?.version === version;
    if (version !== undefined && granted === version && isProven) return true;
    this.connections.get(service)?.client?.reportUnused(id);
    return false;
  }

  /** Decides whether the request may ask the holder, or this process if it is. */
  private admit(
    { service, keeper, client, admission }: HolderConnection,
    request: PlacementRequest,
  ): AdmissionDecision {
    const { local, metrics, now } = this.options;
    if (keeper.isHolder)
      admission.refreshShares(() => local.shares(service), now());
    const unanswered = client?.unacknowledgedCount ?? 0;
    const decision = admission.decide(request, unanswered, now());
    const isOverShare =
      decision.kind === "refused" && decision.why === "over-share";
    if (!isOverShare) return decision;
    metrics.count("over_share", { route: request.route });
    if (!keeper.isHolder) client?.reportRefused();
    else
      for (const refused of admission.takeRefused())
        local.recordRefused(service, refused);
    return decision;
  }

  cancel(service: string, id: string): void {
    this.inUse.remove(id);
    this.options.local.cancel(service, id);
    this.connections.get(service)?.client?.cancel(id);
  }

  reportEvent(service: string, event: PlacementEvent): void {
    this.inUse.onEvent(event);
    this.options.local.reportEvent(service, event);
    this.connections.get(service)?.client?.reportEvent(event);
  }

  /**
   * Number of processes that place on a service's engines without coordination.
   */
  sharingProcesses(service: string): number {
    const connection = this.connections.get(service);
    if (connection === undefined) return ASSUMED_ENTRIES;
    const entries = connection.entryCount ?? ASSUMED_ENTRIES;
    const estimate = Math.max(1, entries * BUSY_FRACTION);
    if (!connection.keeper.isHolder) return estimate;
    // If this process can't reach the store, others may have found another
    // holder.
    const isAlone = this.options.connectedEntries(service) <= 1;
    return isAlone && !connection.keeper.isFresh ? estimate : 1;
  }

  isHolder(service: string): boolean {
    return this.connections.get(service)?.keeper.isHolder ?? false;
  }

  /**
   * Whether this process may yet be told of streams: entries tell a new holder
   * of those that they relay once they have found it.
   */
  mayBeTold(service: string): boolean {
    const heldMs = this.connections.get(service)?.keeper.heldMs ?? 0;
    return heldMs < TOLD_AFTER_MS;
  }

  isFresh(service: string): boolean {
    return this.connections.get(service)?.keeper.isFresh ?? false;
  }

  /** Epoch of the lease, used as the fencing number of orders. */
  epoch(service: string): number {
    return this.connections.get(service)?.keeper.epoch ?? 0;
  }

  /** The lease version as this process last wrote it, if it is the holder. */
  leaseVersion(service: string): LeaseVersion | undefined {
    return this.connections.get(service)?.keeper.version;
  }

  /**
   * Requests the newest configuration from all holders; `known` is the revision
   * held here.
   */
  requestConfig(known: number): void {
    for (const { client } of this.connections.values())
      client?.requestConfig(known);
  }

  /** Reports the usage counted by this process to the holder of a service. */
  sendUsage(
    service: string,
    process: string,
    windows: readonly WindowCounts[],
  ): void {
    this.connections.get(service)?.client?.sendUsage(process, windows);
  }

  /** Highest entry count of any of these services. */
  maxEntryCount(services: readonly string[]): number {
    return this.countedMaxEntries(services) ?? ASSUMED_ENTRIES;
  }

  /** The same; undefined while no holder has reported a count. */
  countedMaxEntries(services: readonly string[]): number | undefined {
    const counts = services.flatMap(
      (service) => this.connections.get(service)?.entryCount ?? [],
    );
    return counts.length === 0 ? undefined : Math.max(1, ...counts);
  }

  /** Acquires or renews the lease of each service that has engines. */
  async step(services: readonly string[]): Promise<void> {
    await Promise.all(services.map((service) => this.stepOne(service)));
  }

  close(): void {
    for (const { client } of this.connections.values()) client?.close();
  }

  private async stepOne(service: string): Promise<void> {
    const connection =
      this.connections.get(service) ?? this.addConnection(service);
    const { keeper } = connection;
    const wasHolder = keeper.isHolder;
    await keeper.step(this.mustLook(connection));
    const { connectedEntries, now } = this.options;
    const { otherHolderAddress: address, epoch } = keeper;
    if (wasHolder && address !== undefined)
      this.options.onHolderReplaced(service, { address, epoch });
    if (connection.keeper.isHolder)
      connection.recordEntryCount(connectedEntries(service), now());
    this.followHolder(service, connection);
  }

  /** Another process has taken the lease, as a peer reports. */
  onNewHolder(service: string, news: NewHolder): void {
    const connection = this.connections.get(service);
    if (connection?.keeper.onHolderReported(news) !== true) return;
    const { address, epoch } = news;
    this.options.log.info("new holder reported", { service, address, epoch });
    this.options.onHolderReplaced(service, news);
    this.followHolder(service, connection);
  }

  /** Connects to the holder of the lease if it has changed. */
  private followHolder(service: string, connection: HolderConnection): void {
    const { keeper, client } = connection;
    const { otherHolderAddress: address, epoch } = keeper;
    if (client?.address === address) return;
    if (address === undefined) return client?.close();
    client?.closeWithNews({ address, epoch });
    this.connect(service, connection, address);
  }

  /** Whether the lease in the store has to be read. */
  private mustLook(connection: HolderConnection): boolean {
    if (connection.client !== undefined && connection.isFresh) {
      connection.noFreshHolderSince = undefined;
      return false;
    }
    const now = this.options.now();
    connection.noFreshHolderSince ??= now;
    return now - connection.noFreshHolderSince >= connection.searchDelayMs;
  }

  private addConnection(service: string): HolderConnection {
    const { local, feed, self, address, leaseMs, acquireDelayMs, log, now } =
      this.options;
    const { capacity, leaseNow } = this.options;
    const keeper = new LeaseKeeper({
      feed,
      service,
      self,
      address: address(),
      leaseMs,
      acquireDelayMs,
      firstAcquireDelayMs: Math.max(
        acquireDelayMs,
        firstAcquireDelayMs(capacity),
      ),
      pace: () => local.scheduler(service).prefillModel.learnedCost,
      onPace: (cost) => this.restorePace(service, cost),
      log,
      now,
      leaseNow,
    });
    const admission = new EntryAdmission(this.options.rng);
    const connection = new HolderConnection(service, keeper, admission);
    this.connections.set(service, connection);
    return connection;
  }

  private connect(
    service: string,
    connection: HolderConnection,
    address: string,
  ): void {
    const { log } = this.options;
    const client = new PlacementClient({
      service,
      address,
      isStandby: this.options.isStandby,
      log,
      now: this.options.now,
      leaseNow: this.options.leaseNow,
      onConfig: this.options.onConfig,
      onHolderNews: this.options.onHolderNews,
      onRates: (news) => this.permits.applyFromAllocator(service, news),
      onOrigins: (origins) =>
        this.options.local.streams.adoptFromHolder(service, origins),
      onShares: (shares) =>
        connection.admission.applyShares(shares, this.options.now()),
      takeRefused: () => connection.admission.takeRefused(),
      onAnswerTime: (isInTime) =>
        connection.admission.recordAnswerTime(isInTime, this.options.now()),
      onNewHolder: (news) => this.onNewHolder(service, news),
      self: this.options.self,
      onState: ({ entries, isFresh, standbyRank, readPace, ...lease }) => {
        const { leaseEpoch: epoch, leaseBeat: beat } = lease;
        connection.keeper.onLeaseReported({ epoch, beat });
        if (readPace !== undefined) this.restorePace(service, readPace);
        connection.recordEntryCount(entries, this.options.now());
        connection.isFresh = isFresh;
        const group = Math.floor(standbyRank / CONCURRENT_STANDBYS);
        connection.searchDelayMs = group * STANDBY_GROUP_DELAY_MS;
      },
      onAccepted: () => {
        connection.isFresh = true;
        this.options.onHolderConnected(service);
        const message = this.options.isStandby
          ? "standing by for the holder"
          : "placing through the holder";
        log.info(message, { service, address });
      },
      onDisconnected: (why) => {
        log.warn("holder lost", { service, address, why });
        if (connection.client === client) connection.client = undefined;
      },
    });
    connection.client = client;
    connection.admission.onNewHolder();
    // Until the holder accepts, the lease has to be read: the holder may be
    // gone.
    connection.isFresh = false;
    if (!this.options.isStandby)
      client.sendOrigins(this.options.local.streams.ownOrigins(service));
    for (const { request, grant, isRead } of this.inUse.of(service))
      client.reportHeldGrant(request, grant, isRead);
    client.sendRates(this.options.rates.activeLimits(this.options.now()));
  }

  /** Restores the engines' pace as measured by another process. */
  private restorePace(service: string, cost: PrefillCost): void {
    this.options.local.scheduler(service).prefillModel.restoreCost(cost);
  }
}
