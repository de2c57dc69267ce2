/**
 * Quarantines requests that crash each replica that runs them. Pure. Retry
 * budgets limit the sum over all requests, and the attempt limit one call:
 * neither stops a single request that is sent again and again, at any entry.
 * Here replica ends are counted per request over the whole fleet.
 */
import { SuspectTable } from "./suspectTable.js";
import { sizePrefix, sizePrefixOf } from "./requestDigest.js";
import type {
  QuarantineRecord,
  QuarantineVerdict,
  EndRecord,
} from "./types.js";

/**
 * Replica incarnations that end under a request before it is barred. With
 * fewer, a request that happened to run beside the cause twice would be barred;
 * each additional one costs a replica.
 */
export const REPLICA_ENDS_TO_BAR = 3;
/**
 * Total sends of a barred request to replicas in trials, over the whole fleet.
 * Trials tell the cause from a popular request that ran beside three causes.
 */
export const MAX_TRIAL_SENDS = 3;
/**
 * Delay between barring and the first trial, ms: a popular request is barred by
 * chance when many replicas end at once, and the trial must not coincide with
 * those ends.
 */
export const TRIAL_DELAY_MS = 1000;
/**
 * Maximum number of records; the oldest is dropped first, cleared ones before
 * others. Age is taken from the records' own fields, so that all processes keep
 * the same ones.
 */
export const MAX_RECORDS = 64;
/**
 * Maximum replica incarnations excluded from the count of one request; records
 * name only the latest ones.
 */
const MAX_EXCLUDED_INCARNATIONS = 24;

const FREE: QuarantineVerdict = { kind: "free" };

interface KnownRecord {
  record: QuarantineRecord;
  /** When this process received this step, ms. */
  since: number;
}

const byAge = (left: QuarantineRecord, right: QuarantineRecord): number =>
  left.at - right.at || left.digest.localeCompare(right.digest);

export class Quarantine {
  private readonly suspects: SuspectTable;
  private readonly records = new Map<string, KnownRecord>();
  /** Body sizes of tracked requests; undefined: must be rebuilt. */
  private sizes: Set<string> | undefined;

  constructor(
    /** Name of this process. */
    private readonly self: string,
    private readonly now: () => number,
    private readonly wallNow: () => number,
  ) {
    this.suspects = new SuspectTable(now);
  }

  /**
   * Whether a request with a body of this size can be a tracked one. Avoids
   * computing the digest of nearly all requests.
   */
  mayBeTracked(bodyBytes: number): boolean {
    if (this.records.size === 0 && this.suspects.size === 0) return false;
    this.sizes ??= new Set(
      [...this.records.keys(), ...this.suspects.digests()].map(sizePrefixOf),
    );
    return this.sizes.has(sizePrefix(bodyBytes));
  }

  /**
   * Records that a replica incarnation ended while these requests were on it.
   */
  recordReplicaEnd(digests: readonly string[], incarnation: string): void {
    this.suspects.add(digests, incarnation);
    this.sizes = undefined;
    for (const digest of digests) {
      this.endTrials(digest);
      this.barIfThresholdReached(digest, this.suspects.incarnations(digest));
    }
  }

  /**
   * Records that a run ended and left its replica alive; returns whether this
   * changed anything. A barred request is cleared only by its trial, since this
   * run began before it was barred.
   */
  recordSurvival(digest: string): boolean {
    if (this.activeRecord(digest) !== undefined) return false;
    return this.suspects.clear(digest);
  }

  /**
   * Whether a request may run. `trialSends`: maximum sends to replicas that a
   * trial of it may take.
   */
  verdict(digest: string, trialSends: number): QuarantineVerdict {
    const known = this.records.get(digest);
    if (known === undefined || known.record.state === "cleared") return FREE;
    const { record, since } = known;
    const isDelayed = this.now() - since < TRIAL_DELAY_MS;
    const hasSends = record.sends + trialSends <= MAX_TRIAL_SENDS;
    const mayTry = record.state === "barred" && hasSends && !isDelayed;
    return { kind: mayTry ? "may-try" : "refused", record };
  }

  /** The record of a request that must not run. */
  activeRecord(digest: string): QuarantineRecord | undefined {
    const record = this.records.get(digest)?.record;
    return record?.state === "cleared" ? undefined : record;
  }

  /** What this process has seen, for the other processes. */
  toRecord(): EndRecord {
    return this.suspects.toRecord();
  }

  restore(record: EndRecord): void {
    this.suspects.restore(record);
    this.sizes = undefined;
  }

  /**
   * Applies the records of all processes: one end at each of three entries
   * counts as three.
   */
  applyEndRecords(records: readonly EndRecord[]): void {
    const all = new Map<string, Set<string>>();
    for (const record of records) {
      for (const [digest, incarnations] of Object.entries(record)) {
        const known = all.get(digest) ?? new Set();
        incarnations.forEach((incarnation) => known.add(incarnation));
        all.set(digest, known);
      }
    }
    for (const [digest, incarnations] of all)
      this.barIfThresholdReached(digest, incarnations);
  }

  /** Applies steps taken by any process; returns those that were new. */
  applyRecords(records: readonly QuarantineRecord[]): QuarantineRecord[] {
    const news = records.filter((record) => this.isLater(record));
    for (const record of news) this.set(record);
    return news;
  }

  allRecords(): QuarantineRecord[] {
    return [...this.records.values()].map(({ record }) => record);
  }

  /**
   * The record of a trial that may take up to `sends` sends; the store must
   * accept it first.
   */
  startTrial(record: QuarantineRecord, sends: number): QuarantineRecord {
    return this.nextStep(
      { ...record, sends: record.sends + sends },
      "on-trial",
    );
  }

  /** The next record after a trial that had reserved `reserved` sends. */
  finishTrial(
    trial: QuarantineRecord,
    reserved: number,
    { sends, hasSurvived }: { sends: number; hasSurvived: boolean },
  ): QuarantineRecord {
    const known = this.activeRecord(trial.digest) ?? trial;
    if (hasSurvived) return this.nextStep(known, "cleared");
    // The end of its replica was recorded first.
    if (known.step > trial.step) return known;
    const used = { ...trial, sends: trial.sends - reserved + sends };
    return this.nextStep(used, "barred");
  }

  private nextStep(
    record: QuarantineRecord,
    state: QuarantineRecord["state"],
  ): QuarantineRecord {
    return {
      ...record,
      state,
      step: record.step + 1,
      by: this.self,
      at: Math.round(this.wallNow()),
    };
  }

  private barIfThresholdReached(
    digest: string,
    incarnations: ReadonlySet<string>,
  ): void {
    const known = this.records.get(digest)?.record;
    if (known !== undefined && known.state !== "cleared") return;
    const excluded = new Set(known?.lives ?? []);
    const counted = [...incarnations].filter(
      (incarnation) => !excluded.has(incarnation),
    );
    if (counted.length < REPLICA_ENDS_TO_BAR) return;
    const step = known?.step ?? 0;
    const named = [...excluded, ...counted].slice(-MAX_EXCLUDED_INCARNATIONS);
    const record = { digest, step, lives: named, sends: 0, by: "", at: 0 };
    this.set(this.nextStep({ ...record, state: "barred" }, "barred"));
  }

  /**
   * Ends further trials: a replica ended under a trial run by this process, so
   * the request is the cause. Ends under runs from before it was barred don't
   * count.
   */
  private endTrials(digest: string): void {
    const record = this.activeRecord(digest);
    const wasTried = record?.by === this.self && record.sends > 0;
    if (!wasTried || record.sends >= MAX_TRIAL_SENDS) return;
    const final = { ...record, sends: MAX_TRIAL_SENDS };
    this.set(this.nextStep(final, "barred"));
  }

  private isLater(record: QuarantineRecord): boolean {
    const known = this.records.get(record.digest)?.record;
    return known === undefined || record.step > known.step;
  }

  private set(record: QuarantineRecord): void {
    this.sizes = undefined;
    this.records.delete(record.digest);
    this.records.set(record.digest, { record, since: this.now() });
    // Ends seen before a request was cleared no longer count against it.
    if (record.state === "cleared") this.suspects.clear(record.digest);
    if (this.records.size > MAX_RECORDS) this.dropOldest();
  }

  private dropOldest(): void {
    const all = this.allRecords();
    const cleared = all.filter(({ state }) => state === "cleared");
    const [oldest] = (cleared.length > 0 ? cleared : all).sort(byAge);
    if (oldest !== undefined) this.records.delete(oldest.digest);
  }
}
