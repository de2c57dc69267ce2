/**
 * Bars requests that end each replica that runs them. Pure. Budgets of
 * retries bound the sum over all requests, and attempts one try of a caller:
 * neither holds one request that comes again and again, at any entry. Here
 * the ends of replicas are counted for each request over the whole fleet.
 */
import { SuspectTable } from "./suspectTable.js";
import { sizePrefix, sizePrefixOf } from "./requestDigest.js";
import type {
  QuarantineRecord,
  QuarantineVerdict,
  EndRecord,
} from "./types.js";

/**
 * Lives of replicas that may end under a request before it is barred. With
 * fewer, one that was twice beside the cause would be barred; each more is a
 * replica lost.
 */
export const REPLICA_ENDS_TO_BAR = 3;
/**
 * Sends of a barred request to replicas, for good, over the whole fleet:
 * trials tell a popular request that was beside three causes from the cause.
 */
export const MAX_TRIAL_SENDS = 3;
/**
 * How long after a bar a trial may begin, ms: a popular request is
 * barred by chance where many replicas end at once, and the trial must not
 * fall among the same ends.
 */
export const TRIAL_DELAY_MS = 1000;
/**
 * Bars that are kept; the oldest goes first, cleared ones before others. By
 * the bars' own fields, so that all processes keep the same.
 */
export const MAX_RECORDS = 64;
/** Lives that are excused of one request; older records name no more. */
const MAX_EXCUSED = 24;

const FREE: QuarantineVerdict = { kind: "free" };

interface KnownBar {
  bar: QuarantineRecord;
  /** When this process learnt of this step, ms. */
  since: number;
}

const byAge = (left: QuarantineRecord, right: QuarantineRecord): number =>
  left.at - right.at || left.digest.localeCompare(right.digest);

export class Quarantine {
  private readonly ledger: SuspectTable;
  private readonly bars = new Map<string, KnownBar>();
  /** Sizes of the requests that are known; undefined: to be made anew. */
  private sizes: Set<string> | undefined;

  constructor(
    /** Name of this process. */
    private readonly self: string,
    private readonly now: () => number,
    private readonly wallNow: () => number,
  ) {
    this.ledger = new SuspectTable(now);
  }

  /**
   * Whether a request with such a body can be a known one. Spares nearly all
   * requests their digest.
   */
  mayBeTracked(bodyBytes: number): boolean {
    if (this.bars.size === 0 && this.ledger.size === 0) return false;
    this.sizes ??= new Set(
      [...this.bars.keys(), ...this.ledger.digests()].map(sizePrefixOf),
    );
    return this.sizes.has(sizePrefix(bodyBytes));
  }

  /** A replica's life ended while these requests were there. */
  recordReplicaEnd(digests: readonly string[], life: string): void {
    this.ledger.add(digests, life);
    this.sizes = undefined;
    for (const digest of digests) {
      this.endTrials(digest);
      this.judge(digest, this.ledger.lives(digest));
    }
  }

  /**
   * A run of it ended and left its replica alive. Whether that is news.
   * A barred one is cleared by its trial only: this run began before.
   */
  recordSurvival(digest: string): boolean {
    if (this.activeRecord(digest) !== undefined) return false;
    return this.ledger.clear(digest);
  }

  /** `trialSends`: how many sends to replicas a trial of it may take. */
  verdict(digest: string, trialSends: number): QuarantineVerdict {
    const known = this.bars.get(digest);
    if (known === undefined || known.bar.state === "cleared") return FREE;
    const { bar, since } = known;
    const isResting = this.now() - since < TRIAL_DELAY_MS;
    const hasSends = bar.sends + trialSends <= MAX_TRIAL_SENDS;
    const mayTry = bar.state === "barred" && hasSends && !isResting;
    return { kind: mayTry ? "may-try" : "refused", record: bar };
  }

  /** The bar of a request that may not run. */
  activeRecord(digest: string): QuarantineRecord | undefined {
    const bar = this.bars.get(digest)?.bar;
    return bar?.state === "cleared" ? undefined : bar;
  }

  /** What this process has seen, for the others. */
  toRecord(): EndRecord {
    return this.ledger.toRecord();
  }

  restore(record: EndRecord): void {
    this.ledger.restore(record);
    this.sizes = undefined;
  }

  /** What all processes have seen: an end at each of three entries is three. */
  applyEndRecords(records: readonly EndRecord[]): void {
    const all = new Map<string, Set<string>>();
    for (const record of records) {
      for (const [digest, lives] of Object.entries(record)) {
        const known = all.get(digest) ?? new Set();
        lives.forEach((life) => known.add(life));
        all.set(digest, known);
      }
    }
    for (const [digest, lives] of all) this.judge(digest, lives);
  }

  /** Steps that others took, or this process; those that are news. */
  applyRecords(bars: readonly QuarantineRecord[]): QuarantineRecord[] {
    const news = bars.filter((bar) => this.isLater(bar));
    for (const bar of news) this.set(bar);
    return news;
  }

  allRecords(): QuarantineRecord[] {
    return [...this.bars.values()].map(({ bar }) => bar);
  }

  /** A trial takes up to `sends` sends; the store has to agree first. */
  startTrial(bar: QuarantineRecord, sends: number): QuarantineRecord {
    return this.nextStep({ ...bar, sends: bar.sends + sends }, "on-trial");
  }

  /** A trial that was given `reserved` sends is over; its next step. */
  finishTrial(
    trial: QuarantineRecord,
    reserved: number,
    { sends, hasSurvived }: { sends: number; hasSurvived: boolean },
  ): QuarantineRecord {
    const known = this.activeRecord(trial.digest) ?? trial;
    if (hasSurvived) return this.nextStep(known, "cleared");
    // Its replica's end was found out first.
    if (known.step > trial.step) return known;
    const used = { ...trial, sends: trial.sends - reserved + sends };
    return this.nextStep(used, "barred");
  }

  private nextStep(
    bar: QuarantineRecord,
    state: QuarantineRecord["state"],
  ): QuarantineRecord {
    return {
      ...bar,
      state,
      step: bar.step + 1,
      by: this.self,
      at: Math.round(this.wallNow()),
    };
  }

  private judge(digest: string, lives: ReadonlySet<string>): void {
    const known = this.bars.get(digest)?.bar;
    if (known !== undefined && known.state !== "cleared") return;
    const excused = new Set(known?.lives ?? []);
    const counted = [...lives].filter((life) => !excused.has(life));
    if (counted.length < REPLICA_ENDS_TO_BAR) return;
    const step = known?.step ?? 0;
    const named = [...excused, ...counted].slice(-MAX_EXCUSED);
    const bar = { digest, step, lives: named, sends: 0, by: "", at: 0 };
    this.set(this.nextStep({ ...bar, state: "barred" }, "barred"));
  }

  /**
   * A replica ended under a trial that this process ran: there is no doubt
   * left. Ends under runs from before the bar are no news.
   */
  private endTrials(digest: string): void {
    const bar = this.activeRecord(digest);
    const wasTried = bar?.by === this.self && bar.sends > 0;
    if (!wasTried || bar.sends >= MAX_TRIAL_SENDS) return;
    const final = { ...bar, sends: MAX_TRIAL_SENDS };
    this.set(this.nextStep(final, "barred"));
  }

  private isLater(bar: QuarantineRecord): boolean {
    const known = this.bars.get(bar.digest)?.bar;
    return known === undefined || bar.step > known.step;
  }

  private set(bar: QuarantineRecord): void {
    this.sizes = undefined;
    this.bars.delete(bar.digest);
    this.bars.set(bar.digest, { bar, since: this.now() });
    // What was seen of a cleared request speaks no more against it.
    if (bar.state === "cleared") this.ledger.clear(bar.digest);
    if (this.bars.size > MAX_RECORDS) this.dropOldest();
  }

  private dropOldest(): void {
    const all = this.allRecords();
    const cleared = all.filter(({ state }) => state === "cleared");
    const [oldest] = (cleared.length > 0 ? cleared : all).sort(byAge);
    if (oldest !== undefined) this.bars.delete(oldest.digest);
  }
}
