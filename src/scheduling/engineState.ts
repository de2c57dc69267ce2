/**
 * What the scheduler knows of one engine: the reads it has given out, the
 * runs, the cache and the measured pace. All times are ms of one clock.
 */
import { LRUCache } from "lru-cache";
import { median } from "simple-statistics";

import { EngineRuns } from "./engineRuns.js";
import type { KeyedPart } from "./promptCache.js";
import { addWork, prefillWorkOf } from "./prefillTimeModel.js";
import type { PrefillTimeModel, PrefillWork } from "./prefillTimeModel.js";
import { TokenTimeModel } from "./tokenTimeModel.js";
import type { EngineView } from "./types.js";

/** An engine that makes tokens reads at half the pace. */
const DECODE_PREFILL_FACTOR = 2;
/** Reads from which an engine is known to be slower, or quicker, than others. */
const MIN_RATIOS = 3;
const MAX_RATIOS = 7;
/** Bounds of an engine's time over that of the others. */
const MAX_RELATIVE_TIME = 20;
const MIN_RELATIVE_TIME = 0.3;
/** Reads that end closer behind one another are measured as one, ms. */
const MIN_MEASURED_MS = 4;
/** An engine that failed gets no work for this long at first, ms. */
const INITIAL_BACK_OFF_MS = 700;
export const MAX_BACK_OFF_MS = 6000;
const FAILURES_TO_BACK_OFF = 2;
/** Share of the memory that idle cached parts can be expected to keep. */
const CACHE_SHARE = 0.85;
/** A grant nobody reported on is dropped after this, ms. */
const GRANT_TIMEOUT_MS = 6000;
/** A read that has not ended has at least this part of its time to go. */
const MIN_REMAINING_SHARE = 0.05;
/**
 * A read that is overdue is expected to take so many times longer as it is
 * overdue. Counted as done at its expected end, it would let a slow engine get
 * more and more that it can't serve.
 */
const OVERDUE_FACTOR = 1;

interface Prefill {
  work: PrefillWork;
  costMs: number;
  at: number;
}

interface CachedPart {
  tokens: number;
  /** False while the read that brings it has not ended. */
  isComplete: boolean;
}

export class EngineState {
  private readonly prefills = new Map<string, Prefill>();
  readonly runs: EngineRuns;
  private readonly cache: LRUCache<string, CachedPart>;
  /** Expected time of all reads that have not ended, ms. */
  private outstandingMs = 0;
  private lastPrefillEnd = 0;
  /** Read since the last measurement, in a time too short for one. */
  private unmeasured: PrefillWork | undefined;
  private unmeasuredSince = 0;
  /** Times of the last reads over those of the service's engines. */
  private readonly ratios: number[] = [];
  /** No work before this instant: it changes its stage. */
  suspendedUntil = 0;
  /** No work before this instant, where others can do it: it failed. */
  private backOffUntil = 0;
  private failures = 0;

  constructor(
    public view: EngineView,
    /** Of all engines of the service. */
    private readonly model: PrefillTimeModel,
    tokenPace = new TokenTimeModel(),
  ) {
    this.runs = new EngineRuns(() => this.view.slots, tokenPace);
    this.cache = new LRUCache<string, CachedPart>({
      maxSize: Math.max(1, Math.floor(view.kvCapacityTokens * CACHE_SHARE)),
      sizeCalculation: ({ tokens }) => Math.max(1, tokens),
    });
  }

  /** The list says this of it now; news of its stage end any doubt. */
  updateView(view: EngineView): void {
    if (view.stage !== this.view.stage) this.suspendedUntil = 0;
    this.view = view;
  }

  isBackingOff(now: number): boolean {
    return this.backOffUntil > now;
  }

  /** A send to it ended well, or didn't. */
  recordOutcome(ok: boolean, now: number): void {
    if (ok) {
      this.failures = 0;
      return;
    }
    this.failures += 1;
    if (this.failures < FAILURES_TO_BACK_OFF || this.isBackingOff(now)) return;
    const times = this.failures - FAILURES_TO_BACK_OFF;
    const pause = Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** times);
    this.backOffUntil = now + pause;
  }

  /** It answers nothing at all: others need not find that out too. */
  recordUnresponsive(now: number): void {
    if (this.isBackingOff(now)) return;
    this.failures = Math.max(this.failures, FAILURES_TO_BACK_OFF);
    this.recordOutcome(false, now);
  }

  get prefillCount(): number {
    return this.prefills.size;
  }

  get runCount(): number {
    return this.runs.count;
  }

  get runTokens(): number {
    return this.runs.tokens;
  }

  /**
   * Tokens at the start of the prompt that it need not read: held, or part of
   * a read before.
   */
  cachedTokens(parts: readonly KeyedPart[]): number {
    return this.leadingTokens(parts, () => true);
  }

  /**
   * Tokens at the start of the prompt that others can take from it now. Parts
   * that are still to be read can't be: an engine that was sent for them
   * would read them all itself.
   */
  transferableTokens(parts: readonly KeyedPart[]): number {
    return this.leadingTokens(parts, ({ isComplete }) => isComplete);
  }

  /** Time to read a prompt of which `cached` tokens are held, ms. */
  prefillCostMs(promptTokens: number, cached: number): number {
    return this.costMs(prefillWorkOf(promptTokens, cached));
  }

  /** Time until it has read what it was given, ms. */
  backlogMs(now: number): number {
    const [first] = this.prefills.values();
    if (first === undefined) return 0;
    return this.outstandingMs - first.costMs + this.remainingMs(first, now);
  }

  addPrefill(id: string, work: PrefillWork, costMs: number, now: number): void {
    this.prefills.set(id, { work, costMs, at: now });
    this.outstandingMs += costMs;
  }

  /** A read ended; what is left begins now. `isMeasure`: its time counts. */
  endPrefill(id: string, isMeasure: boolean, now: number): void {
    const read = this.prefills.get(id);
    if (read === undefined) return;
    this.prefills.delete(id);
    this.outstandingMs -= read.costMs;
    if (isMeasure) this.measure(read, now);
    else this.unmeasured = undefined;
    this.lastPrefillEnd = now;
  }

  /** It is about to read these parts, where it doesn't hold them. */
  markPending(parts: readonly KeyedPart[]): void {
    for (const { key, tokens } of parts) {
      const known = this.cache.get(key);
      if (known === undefined)
        this.cache.set(key, { tokens, isComplete: false });
    }
  }

  /** It has read these parts, or taken them from another engine. */
  markCached(parts: readonly KeyedPart[]): void {
    for (const { key, tokens } of parts) {
      this.cache.set(key, { tokens, isComplete: true });
    }
  }

  /** A read of these parts failed: those it was to bring are not there. */
  dropPending(parts: readonly KeyedPart[]): void {
    for (const { key } of parts) {
      if (this.cache.peek(key)?.isComplete === false) this.cache.delete(key);
    }
  }

  /** Drops grants whose end was never reported; returns the number of runs. */
  expire(now: number): number {
    for (const [id, read] of this.prefills) {
      if (now - read.at > GRANT_TIMEOUT_MS) this.endPrefill(id, false, now);
    }
    return this.runs.expire(GRANT_TIMEOUT_MS, now);
  }

  /** Time until the first read ends, ms. */
  private remainingMs({ at, costMs }: Prefill, now: number): number {
    const begun = Math.max(at, this.lastPrefillEnd);
    const leftMs = begun + costMs - now;
    const leastMs = costMs * MIN_REMAINING_SHARE;
    return Math.max(leftMs, leastMs, -leftMs * OVERDUE_FACTOR);
  }

  private leadingTokens(
    parts: readonly KeyedPart[],
    isUsable: (part: CachedPart) => boolean,
  ): number {
    let sum = 0;
    for (const { key, tokens } of parts) {
      const known = this.cache.peek(key);
      if (known === undefined || !isUsable(known)) break;
      sum += tokens;
    }
    return sum;
  }

  private costMs(work: PrefillWork): number {
    const stageFactor =
      this.view.stage === "decode" ? DECODE_PREFILL_FACTOR : 1;
    return this.model.estimateMs(work) * this.relativeTime * stageFactor;
  }

  /** Its time to read over that of the other engines. */
  private get relativeTime(): number {
    const { ratios } = this;
    if (ratios.length < MIN_RATIOS) return 1;
    return Math.min(
      MAX_RELATIVE_TIME,
      Math.max(MIN_RELATIVE_TIME, median(ratios)),
    );
  }

  /**
   * An engine reads one prompt after the other, so the time since the end of
   * the one before is this one's. Reads that end together are measured as one.
   */
  private measure(read: Prefill, now: number): void {
    const begun = Math.max(read.at, this.lastPrefillEnd);
    const isAlone = read.at >= this.lastPrefillEnd;
    if (isAlone) this.unmeasured = undefined;
    const { unmeasured } = this;
    const work = unmeasured ? addWork(unmeasured, read.work) : read.work;
    const since = unmeasured ? this.unmeasuredSince : begun;
    const tookMs = now - since;
    if (tookMs < MIN_MEASURED_MS && !isAlone) {
      this.unmeasured = work;
      this.unmeasuredSince = since;
      return;
    }
    this.unmeasured = undefined;
    const { isCalibrated } = this.model;
    const expectedMs = this.model.estimateMs(work);
    this.model.observe(work, tookMs);
    if (!isCalibrated || expectedMs < MIN_MEASURED_MS) return;
    this.ratios.push(tookMs / expectedMs);
    if (this.ratios.length > MAX_RATIOS) this.ratios.shift();
  }
}
