/**
 * Placement by the gateway that holds a service's lease, and by this process
 * while that one can't be reached. The own scheduler hears of every grant,
 * so that it knows at least what this process has at the engines.
 */
import type {
  Grant,
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
  PrefillCost,
} from "../scheduling/index.js";
import type { RateLimits } from "../rateLimits/index.js";
import type { ObjectFeed } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import { AskLimit } from "./askLimit.js";
import { HolderLink } from "./holderLink.js";
import { LeaseKeeper } from "./leaseKeeper.js";
import type { LeaseMark } from "./leaseKeeper.js";
import type { LocalPlacement } from "./localPlacement.js";
import { PlacementClient } from "./placementClient.js";
import { STANDBYS_AT_ONCE } from "./placementServer.js";
import { RatePermits } from "./ratePermits.js";
import type { Placement } from "./types.js";
import type { ConfigNews, WindowCounts } from "../workspaces/index.js";

/** Entries assumed to share the engines while none was counted. */
const UNKNOWN_ENTRIES = 4;
/**
 * Part of the entries that an entry which places alone counts as busy as
 * itself. Callers are not spread evenly, and an engine that is full refuses
 * by itself.
 */
const GUESSED_PART = 0.5;
/** Pause between two such groups, ms: as long as a takeover takes. */
const STANDBY_PAUSE_MS = 2000;

/**
 * How long a process of one core leaves the first lease of a service to
 * others, ms; one of half a core leaves it twice as long. Processes start
 * within half a second of each other, and the strongest must be the holder: one
 * of half a core answers a large fleet too late.
 */
const FIRST_PATIENCE_MS = 1500;
/** No process leaves it for longer, ms. */
const LONGEST_FIRST_PATIENCE_MS = 4000;

const firstPatienceMs = (capacity: number): number =>
  Math.min(LONGEST_FIRST_PATIENCE_MS, FIRST_PATIENCE_MS / capacity);

export interface SharedPlacementOptions {
  local: LocalPlacement;
  rates: RateLimits;
  feed: ObjectFeed;
  /** Name of this process. */
  self: string;
  /** Where it places for others; known once it listens. */
  address(): string;
  leaseMs: number;
  /** How long it leaves a free lease to others, ms. */
  patienceMs: number;
  /** Processor time that it has for placing, in cores. */
  capacity: number;
  /** Whether this process places nothing of its own. */
  isStandby: boolean;
  /** Entries that place through this process, itself included. */
  entriesHere(service: string): number;
  /** Another process reads what is sent to it as the holder. */
  onHolder(service: string): void;
  /** The holder answered so to a question that was sent at `sentAt`. */
  onConfig(news: ConfigNews, sentAt: number): void;
  log: Log;
  now: () => number;
  /** Counts suspensions of the machine besides. */
  leaseNow: () => number;
}

interface InUse {
  ask: PlacementRequest;
  grant: Grant;
  /** An engine has read its prompt. */
  isRead: boolean;
}

export class SharedPlacement implements Placement {
  private readonly links = new Map<string, HolderLink>();
  private readonly inUse = new Map<string, InUse>();
  private readonly askLimit = new AskLimit();
  /** Of the rates that replicas take. */
  readonly permits: RatePermits;

  constructor(private readonly options: SharedPlacementOptions) {
    this.permits = new RatePermits({ ...options, links: this.links });
  }

  async place(ask: PlacementRequest): Promise<PlacementAnswer> {
    const { local, now } = this.options;
    const client = this.links.get(ask.service)?.client;
    const waiting = client?.waitingCount ?? 0;
    const refusal = this.askLimit.refusal(ask.route, waiting, now());
    // A request that has been at an engine goes on being placed.
    if (refusal !== undefined && ask.avoid.length === 0) return refusal;
    const answer = await client?.ask(ask);
    if (answer !== undefined) {
      this.askLimit.note(ask.route, answer, now());
      if (answer.kind === "granted") local.adopt(ask, answer);
      return this.used(ask, answer);
    }
    const own = await local.place(ask);
    const { client: newest } = this.links.get(ask.service) ?? {};
    if (own.kind === "granted") newest?.tellHeld(ask, own, false);
    return this.used(ask, own);
  }

  withdraw(service: string, id: string): void {
    this.inUse.delete(id);
    this.options.local.withdraw(service, id);
    this.links.get(service)?.client?.withdraw(id);
  }

  note(service: string, event: PlacementEvent): void {
    this.follow(event);
    this.options.local.note(service, event);
    this.links.get(service)?.client?.note(event);
  }

  /** What a new holder will have to know of the request. */
  private follow(event: PlacementEvent): void {
    if (event.kind === "ended") this.inUse.delete(event.id);
    const isRead = event.kind === "read" || event.kind === "begun";
    if (!isRead) return;
    const item = this.inUse.get(event.id);
    if (item !== undefined) item.isRead = true;
  }

  /** How many processes place on a service's engines without talking. */
  share(service: string): number {
    const link = this.links.get(service);
    if (link === undefined) return UNKNOWN_ENTRIES;
    const entries = link.entries ?? UNKNOWN_ENTRIES;
    const guess = Math.max(1, entries * GUESSED_PART);
    if (!link.keeper.isHolder) return guess;
    // Cut off from the store, others may have found another holder.
    const isAlone = this.options.entriesHere(service) <= 1;
    return isAlone && !link.keeper.isFresh ? guess : 1;
  }

  isHolder(service: string): boolean {
    return this.links.get(service)?.keeper.isHolder ?? false;
  }

  isFresh(service: string): boolean {
    return this.links.get(service)?.keeper.isFresh ?? false;
  }

  /** Epoch of the lease, as a fencing number of orders. */
  epoch(service: string): number {
    return this.links.get(service)?.keeper.epoch ?? 0;
  }

  /** The lease as this process wrote it last, if it holds it. */
  leaseMark(service: string): LeaseMark | undefined {
    return this.links.get(service)?.keeper.mark;
  }

  /** Asks the holders for the configuration by one that holds `known`. */
  askConfig(known: number): void {
    for (const { client } of this.links.values()) client?.askConfig(known);
  }

  /** Tells the holder of a service what this process has counted. */
  tellUsage(
    service: string,
    process: string,
    windows: readonly WindowCounts[],
  ): void {
    this.links.get(service)?.client?.tellUsage(process, windows);
  }

  /** Most entries that place on the engines of any of these services. */
  entries(services: readonly string[]): number {
    return this.countedEntries(services) ?? UNKNOWN_ENTRIES;
  }

  /** The same; undefined while no holder has counted them. */
  countedEntries(services: readonly string[]): number | undefined {
    const counts = services.flatMap(
      (service) => this.links.get(service)?.entries ?? [],
    );
    return counts.length === 0 ? undefined : Math.max(1, ...counts);
  }

  /** Keeps or seeks the lease of each service that has engines. */
  async step(services: readonly string[]): Promise<void> {
    await Promise.all(services.map((service) => this.stepOne(service)));
  }

  close(): void {
    for (const { client } of this.links.values()) client?.close();
  }

  private async stepOne(service: string): Promise<void> {
    const link = this.links.get(service) ?? this.addLink(service);
    await link.keeper.step(this.mustLook(link));
    const { entriesHere, now } = this.options;
    if (link.keeper.isHolder) link.noteEntries(entriesHere(service), now());
    const { otherHolder } = link.keeper;
    if (link.client?.address === otherHolder) return;
    link.client?.close();
    if (otherHolder !== undefined) this.connect(service, link, otherHolder);
  }

  /** Whether the lease in the store has to be looked at. */
  private mustLook(link: HolderLink): boolean {
    if (link.client !== undefined && link.isFresh) {
      link.unsureSince = undefined;
      return false;
    }
    const now = this.options.now();
    link.unsureSince ??= now;
    return now - link.unsureSince >= link.leaveMs;
  }

  private addLink(service: string): HolderLink {
    const { local, feed, self, address, leaseMs, patienceMs, log, now } =
      this.options;
    const { capacity, leaseNow } = this.options;
    const keeper = new LeaseKeeper({
      feed,
      service,
      self,
      address: address(),
      leaseMs,
      patienceMs,
      firstPatienceMs: Math.max(patienceMs, firstPatienceMs(capacity)),
      pace: () => local.scheduler(service).prefillModel.learnedCost,
      onPace: (cost) => this.restorePace(service, cost),
      log,
      now,
      leaseNow,
    });
    const link = new HolderLink(service, keeper);
    this.links.set(service, link);
    return link;
  }

  private connect(service: string, link: HolderLink, address: string): void {
    const { log } = this.options;
    const client = new PlacementClient({
      service,
      address,
      isStandby: this.options.isStandby,
      log,
      now: this.options.now,
      leaseNow: this.options.leaseNow,
      onConfig: this.options.onConfig,
      onRates: (news) => this.permits.learn(news),
      onState: ({ entries, isFresh, standbyRank, readPace, ...lease }) => {
        const { leaseEpoch: epoch, leaseBeat: beat } = lease;
        link.keeper.hear({ epoch, beat });
        if (readPace !== undefined) this.restorePace(service, readPace);
        link.noteEntries(entries, this.options.now());
        link.isFresh = isFresh;
        const group = Math.floor(standbyRank / STANDBYS_AT_ONCE);
        link.leaveMs = group * STANDBY_PAUSE_MS;
      },
      onAccepted: () => {
        link.isFresh = true;
        this.options.onHolder(service);
        const message = this.options.isStandby
          ? "standing by for the holder"
          : "placing through the holder";
        log.info(message, { service, address });
      },
      onLost: (why) => {
        log.warn("holder lost", { service, address, why });
        if (link.client === client) link.client = undefined;
      },
    });
    link.client = client;
    // Until it accepts, the lease has to be looked at: it may be gone.
    link.isFresh = false;
    for (const { ask, grant, isRead } of this.inUse.values()) {
      if (ask.service === service) client.tellHeld(ask, grant, isRead);
    }
    client.tellRates(this.options.rates.all(this.options.now()));
  }

  /** What another process has learnt of the engines' pace. */
  private restorePace(service: string, cost: PrefillCost): void {
    this.options.local.scheduler(service).prefillModel.restoreCost(cost);
  }

  private used(
    ask: PlacementRequest,
    answer: PlacementAnswer,
  ): PlacementAnswer {
    if (answer.kind === "granted") {
      this.inUse.set(ask.id, { ask, grant: answer, isRead: false });
    }
    return answer;
  }
}
