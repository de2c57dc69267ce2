/**
 * Quarantines requests, and parts of prompts, that crash each replica that runs
 * them. Pure. Retry budgets limit the sum over all requests, and the attempt
 * limit one call: neither stops a single request that is sent again and again,
 * or unlike requests that share a part, at any entry. Here replica ends are
 * counted per suspect over the whole fleet: a request by its digest, a part by
 * its key.
 */
import { LRUCache } from "lru-cache";

import { isPartKey } from "./promptParts.js";
import { decodeEvidence, SuspectTable } from "./suspectTable.js";
import type { Evidence } from "./suspectTable.js";
import { sizePrefix, sizePrefixOf } from "./requestDigest.js";
import type {
  QuarantineRecord,
  QuarantineVerdict,
  EndRecord,
  SuspectRequest,
} from "./types.js";

/**
 * Replica incarnations that end under a request before it is barred. With
 * fewer, a request that happened to run beside the cause twice would be barred;
 * each additional one costs a replica.
 */
export const REPLICA_ENDS_TO_BAR = 3;
/**
 * Replica incarnations that end under a part before it is barred. More than for
 * a request, since a part is in many requests that run beside the cause.
 */
export const PART_ENDS_TO_BAR = 4;
/**
 * Ends within this time of each other came together, ms: many replicas that end
 * at once were lost with their VMs or their failure domain.
 */
export const ENDS_SPAN_MS = 1000;
/** Different requests with a part under which they ended. */
export const PART_REQUESTS_TO_BAR = 2;
/**
 * A part of which a run survived this recently is not barred, nor a request that
 * had survived this recently when replicas ended together, ms: when many end at
 * once, popular requests and parts were on each of them.
 */
export const RECENT_SURVIVAL_MS = 2000;
/** Parts, and requests, whose last survival is remembered. */
const MAX_SURVIVALS = 4096;
/**
 * Delays before the trials of a part, ms, the last one again and again. A trial
 * costs a replica at most, and without one a sound part would never be served.
 * A part that has ended the replica of its first trial is hardly sound.
 */
export const PART_TRIAL_DELAYS_MS = [1500, 60_000, 600_000] as const;
/** A trial that has no outcome by then has been lost, ms. */
export const TRIAL_TIMEOUT_MS = 15_000;
/**
 * Delay before a trial of a request with several barred suspects, ms: most of
 * them are tried sooner, by requests that have one of them only.
 */
export const JOINT_TRIAL_DELAY_MS = 10_000;
/**
 * Sends of a barred request to replicas in trials that may follow each other
 * closely, over the whole fleet. Trials tell the cause from a popular request
 * that ran beside three causes.
 */
export const MAX_TRIAL_SENDS = 3;
/** Delay before a further trial where these sends are too few for one, ms. */
export const UNDECIDED_TRIAL_DELAY_MS = 60_000;
/** Delay before a further trial once a replica ended under one, ms. */
export const LATE_TRIAL_DELAY_MS = 600_000;
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

/** What a completed run has cleared. */
export interface Completion {
  at: number;
  cleared: ReadonlyMap<string, Evidence>;
  /** When runs with its parts had survived before, ms. */
  survivedBefore: ReadonlyMap<string, number | undefined>;
}

interface KnownRecord {
  record: QuarantineRecord;
  /** When this process received this step, ms. */
  since: number;
}

const byAge = (left: QuarantineRecord, right: QuarantineRecord): number =>
  left.at - right.at || left.digest.localeCompare(right.digest);

/** Separates the request of a part's evidence from the time of the end. */
const TIME_SEPARATOR = "@";

/** How many requests there are among the evidence against a part. */
const requestCount = (ends: Evidence): number =>
  new Set([...ends.values()].map((text) => text.split(TIME_SEPARATOR)[0])).size;

/** Wall-clock times of the ends in the evidence, ms; some may have none. */
const endTimes = (ends: Evidence): number[] =>
  [...ends.values()]
    .map((text) => Number(text.split(TIME_SEPARATOR)[1]))
    .filter((at) => Number.isFinite(at));

/** Time between the first and the last end in the evidence, ms. */
const spanMs = (ends: Evidence): number => {
  const times = endTimes(ends);
  return times.length === 0 ? 0 : Math.max(...times) - Math.min(...times);
};

const partTrialDelayMs = ({ sends }: QuarantineRecord): number =>
  PART_TRIAL_DELAYS_MS[Math.min(sends, PART_TRIAL_DELAYS_MS.length - 1)] ?? 0;

/** Its process ended, or its outcome can't be stored. */
const isTrialLost = ({ state }: QuarantineRecord, ageMs: number): boolean =>
  state === "on-trial" && ageMs >= TRIAL_TIMEOUT_MS;

/**
 * Delay before the next trial of a request; there always is one. A lost trial
 * counts as one send: a process that ends in it leaves no room for a further
 * trial of a model request otherwise.
 */
const requestTrialDelayMs = (
  { state, sends }: QuarantineRecord,
  trialSends: number,
): number => {
  const used = state === "on-trial" ? sends - trialSends + 1 : sends;
  if (used + trialSends <= MAX_TRIAL_SENDS) return TRIAL_DELAY_MS;
  const hasEnded = sends >= MAX_TRIAL_SENDS;
  return hasEnded ? LATE_TRIAL_DELAY_MS : UNDECIDED_TRIAL_DELAY_MS;
};

/** Requests are named by a short form in the evidence against a part. */
const shortDigest = (digest: string): string => digest.slice(-8);

/** All suspects of a request: itself, and the parts that it shares. */
const keysOf = ({ digest, parts }: SuspectRequest): string[] => [
  digest,
  ...parts,
];

export class Quarantine {
  private readonly suspects: SuspectTable;
  /** When a run with a part last survived, ms. */
  private readonly survivals = new LRUCache<string, number>({
    max: MAX_SURVIVALS,
  });
  /** When a replica last outlived its run of a request, ms; by digest. */
  private readonly requestSurvivals = new LRUCache<string, number>({
    max: MAX_SURVIVALS,
  });
  private readonly records = new Map<string, KnownRecord>();
  /** Body sizes of tracked requests; undefined: must be rebuilt. */
  private sizes: Set<string> | undefined;
  /** Number of parts that are barred or on trial. */
  private activeParts = 0;

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
      [...this.records.keys(), ...this.suspects.keys()]
        .filter((key) => !isPartKey(key))
        .map(sizePrefixOf),
    );
    return this.sizes.has(sizePrefix(bodyBytes));
  }

  /**
   * Records that a replica incarnation ended while these requests were on it.
   */
  recordReplicaEnd(
    requests: readonly SuspectRequest[],
    incarnation: string,
  ): void {
    this.sizes = undefined;
    for (const request of requests) {
      const { digest, parts, agoMs = 0 } = request;
      const at = Math.round(this.wallNow() - agoMs);
      const evidence = `${shortDigest(digest)}${TIME_SEPARATOR}${at}`;
      this.suspects.add([digest], incarnation, `${TIME_SEPARATOR}${at}`);
      this.suspects.add(parts, incarnation, evidence);
      this.endTrials(digest);
    }
    for (const key of new Set(requests.flatMap(keysOf)))
      this.barIfThresholdReached(key, this.suspects.evidence(key));
  }

  /**
   * Records that a run completed, which clears its suspects unless it is taken
   * back. A barred one is cleared only by its trial, since this run began before
   * it was barred.
   */
  recordCompletion(keys: readonly string[]): Completion {
    const at = this.now();
    const cleared = new Map<string, Evidence>();
    const survivedBefore = new Map<string, number | undefined>();
    for (const key of keys) {
      if (isPartKey(key)) {
        survivedBefore.set(key, this.survivals.get(key));
        this.survivals.set(key, at);
      }
      if (this.activeRecord(key) !== undefined) continue;
      const ends = this.suspects.clear(key);
      if (ends.size > 0) cleared.set(key, ends);
    }
    return { at, cleared, survivedBefore };
  }

  /** Records that a replica has outlived its run of a request. */
  recordSurvival(digest: string): void {
    this.requestSurvivals.set(digest, this.now());
  }

  /** The replica of that run ended right behind it. */
  takeBack({ at, cleared, survivedBefore }: Completion): void {
    for (const [key, before] of survivedBefore) {
      if (this.survivals.get(key) !== at) continue;
      if (before === undefined) this.survivals.delete(key);
      else this.survivals.set(key, before);
    }
    for (const [key, ends] of cleared) {
      for (const [incarnation, request] of ends)
        this.suspects.add([key], incarnation, request);
    }
    this.sizes = undefined;
  }

  /**
   * Whether what has this digest or key may run. `trialSends`: maximum sends to
   * replicas that a trial of it may take; for a part, each trial counts as one.
   */
  verdict(key: string, trialSends: number): QuarantineVerdict {
    const known = this.records.get(key);
    if (known === undefined || known.record.state === "cleared") return FREE;
    const { record, since } = known;
    const ageMs = this.now() - since;
    const delayMs = isPartKey(key)
      ? partTrialDelayMs(record)
      : requestTrialDelayMs(record, trialSends);
    const isTrialOver = record.state === "barred" || isTrialLost(record, ageMs);
    const mayTry = isTrialOver && ageMs >= delayMs;
    return mayTry
      ? { kind: "may-try", records: [record] }
      : { kind: "refused", record };
  }

  /** Whether a request may run that is, or has, these suspects. */
  requestVerdict(
    keys: readonly string[],
    trialSends: number,
  ): QuarantineVerdict {
    const records: QuarantineRecord[] = [];
    for (const key of keys) {
      const verdict = this.verdict(key, trialSends);
      if (verdict.kind === "refused") return verdict;
      if (verdict.kind === "may-try") records.push(...verdict.records);
    }
    const [first] = records;
    if (first === undefined) return FREE;
    const isEarly = records.some(
      ({ digest }) => this.ageMs(digest) < JOINT_TRIAL_DELAY_MS,
    );
    if (records.length > 1 && isEarly)
      return { kind: "refused", record: first };
    return { kind: "may-try", records };
  }

  /** Whether any part is barred or on trial, so that parts have to be checked. */
  get tracksParts(): boolean {
    return this.activeParts > 0;
  }

  /** The record of what must not run. */
  activeRecord(key: string): QuarantineRecord | undefined {
    const record = this.records.get(key)?.record;
    return record?.state === "cleared" ? undefined : record;
  }

  private ageMs(key: string): number {
    return this.now() - (this.records.get(key)?.since ?? 0);
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
    const all = new Map<string, Map<string, string>>();
    for (const record of records) {
      for (const [key, texts] of Object.entries(record)) {
        const known = all.get(key) ?? new Map<string, string>();
        for (const [incarnation, request] of decodeEvidence(texts))
          known.set(incarnation, request);
        all.set(key, known);
      }
    }
    for (const [key, ends] of all) this.barIfThresholdReached(key, ends);
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

  private barIfThresholdReached(key: string, ends: Evidence): void {
    const known = this.records.get(key)?.record;
    if (known !== undefined && known.state !== "cleared") return;
    const excluded = new Set(known?.lives ?? []);
    const counted = new Map(
      [...ends].filter(([incarnation]) => !excluded.has(incarnation)),
    );
    if (!this.isEnough(key, counted)) return;
    const step = known?.step ?? 0;
    const named = [...excluded, ...counted.keys()];
    const lives = named.slice(-MAX_EXCLUDED_INCARNATIONS);
    const record = { digest: key, step, lives, sends: 0, by: "", at: 0 };
    this.set(this.nextStep({ ...record, state: "barred" }, "barred"));
  }

  /** Whether the evidence is enough to bar a request or a part. */
  private isEnough(key: string, ends: Evidence): boolean {
    if (!isPartKey(key))
      return ends.size >= REPLICA_ENDS_TO_BAR && !this.isBystander(key, ends);
    const survivedAt = this.survivals.get(key) ?? -Infinity;
    return (
      ends.size >= PART_ENDS_TO_BAR &&
      spanMs(ends) >= ENDS_SPAN_MS &&
      requestCount(ends) >= PART_REQUESTS_TO_BAR &&
      this.now() - survivedAt >= RECENT_SURVIVAL_MS
    );
  }

  /**
   * Whether a request did well until replicas ended together: these are not
   * independent of each other, and it is not their cause.
   */
  private isBystander(digest: string, ends: Evidence): boolean {
    const survivedAt = this.requestSurvivals.get(digest);
    const times = endTimes(ends);
    // Processes of an earlier version write no times.
    if (survivedAt === undefined || times.length < ends.size) return false;
    const survivedAgoMs = this.now() - survivedAt;
    const firstEndAgoMs = this.wallNow() - Math.min(...times);
    const isRecent = survivedAgoMs <= firstEndAgoMs + RECENT_SURVIVAL_MS;
    return isRecent && spanMs(ends) < ENDS_SPAN_MS;
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
    this.activeParts = [...this.records.keys()].filter(
      (key) => isPartKey(key) && this.activeRecord(key) !== undefined,
    ).length;
  }

  private dropOldest(): void {
    const all = this.allRecords();
    const cleared = all.filter(({ state }) => state === "cleared");
    const requests = all.filter(({ digest }) => !isPartKey(digest));
    const candidates = [cleared, requests, all].find(
      ({ length }) => length > 0,
    );
    const [oldest] = (candidates ?? []).sort(byAge);
    if (oldest !== undefined) this.records.delete(oldest.digest);
  }
}
