/**
 * Scheduling state of one engine: outstanding prefills, runs, cached prompt
 * parts, and measured speed. All times are ms of one clock.
 */
import { LRUCache } from "lru-cache";

import { BackOff } from "./backOff.js";
import { EngineRuns } from "./engineRuns.js";
import type { KeyedPart } from "./promptCache.js";
import { PrefillSpeed } from "./prefillSpeed.js";
import { addWork, prefillWorkOf } from "./prefillTimeModel.js";
import type { PrefillTimeModel, PrefillWork } from "./prefillTimeModel.js";
import { TokenTimeModel } from "./tokenTimeModel.js";
import type { EngineView } from "./types.js";

/** A decode engine prefills at half the speed of a prefill engine. */
const DECODE_PREFILL_FACTOR = 2;
/**
 * Prefills that end within a shorter time of each other are measured as one,
 * ms.
 */
const MIN_MEASURED_MS = 4;
/** Share of the KV memory that cached parts are expected to keep. */
const CACHE_SHARE = 0.85;
/** Time after which a grant without a report is dropped, ms. */
const GRANT_TIMEOUT_MS = 6000;
/** Minimum remaining time of an unfinished prefill, as a share of its cost. */
const MIN_REMAINING_SHARE = 0.05;
/**
 * An overdue prefill is expected to take this multiple of its overrun longer.
 * If it counted as done at its expected end, a slow engine would keep getting
 * work that it can't serve.
 */
const OVERDUE_FACTOR = 1;

interface OutstandingPrefill {
  work: PrefillWork;
  /** Estimated time, ms. */
  costMs: number;
  addedAt: number;
  /** Whether another scheduler granted it; see `dropElapsed`. */
  isAdopted: boolean;
}

interface CachedPart {
  tokens: number;
  /** False while the prefill that adds it to the cache has not ended. */
  isComplete: boolean;
}

export class EngineState {
  private readonly prefills = new Map<string, OutstandingPrefill>();
  readonly runs: EngineRuns;
  private readonly cache: LRUCache<string, CachedPart>;
  /** Expected time of all unfinished prefills, ms. */
  private outstandingMs = 0;
  private lastPrefillEnd = 0;
  /** Work since the last measurement, if it took too little time to measure. */
  private unmeasured: PrefillWork | undefined;
  private unmeasuredSince = 0;
  private speed = new PrefillSpeed();
  /** No work before this time, e.g. because the engine changes its stage. */
  suspendedUntil = 0;
  private readonly backOff = new BackOff();

  constructor(
    public view: EngineView,
    /** Shared by all engines of the service. */
    private readonly model: PrefillTimeModel,
    tokenModel = new TokenTimeModel(),
  ) {
    this.runs = new EngineRuns(() => this.view.slots, tokenModel);
    this.cache = new LRUCache<string, CachedPart>({
      maxSize: Math.max(1, Math.floor(view.kvCapacityTokens * CACHE_SHARE)),
      sizeCalculation: ({ tokens }) => Math.max(1, tokens),
    });
  }

  /**
   * Applies the engine's list entry. A new stage ends any suspension, and the
   * engine's speed in the old one is forgotten.
   */
  updateView(view: EngineView): void {
    if (view.stage !== this.view.stage) {
      this.suspendedUntil = 0;
      this.speed = new PrefillSpeed();
    }
    this.view = view;
  }

  isBackingOff(now: number): boolean {
    return this.backOff.isActive(now);
  }

  /** Records whether a request to the engine succeeded. */
  recordOutcome(ok: boolean, now: number): void {
    this.backOff.recordOutcome(ok, now);
  }

  /** Records whether a run could use a prefill of this engine. */
  recordHandleOutcome(ok: boolean, now: number): void {
    this.backOff.recordHandleOutcome(ok, now);
  }

  /**
   * Starts a back-off at once, so that no further requests fail on the engine.
   */
  recordUnresponsive(now: number): void {
    this.backOff.recordUnresponsive(now);
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
   * Tokens at the start of the prompt that need no prefill, because they are
   * cached or part of an earlier, unfinished prefill.
   */
  cachedTokens(parts: readonly KeyedPart[]): number {
    return this.leadingTokens(parts, () => true);
  }

  /**
   * Tokens at the start of the prompt that other engines can copy now. Pending
   * parts are excluded: an engine sent here for them would have to prefill
   * them all itself.
   */
  transferableTokens(parts: readonly KeyedPart[]): number {
    return this.leadingTokens(parts, ({ isComplete }) => isComplete);
  }

  /**
   * Expected time to prefill a prompt with `cached` tokens in the cache, ms.
   */
  prefillCostMs(promptTokens: number, cached: number, now: number): number {
    const work = prefillWorkOf(promptTokens, cached);
    return this.nominalMs(work) * this.relativePrefillTime(now);
  }

  /** Prefill time relative to the service's other engines. */
  relativePrefillTime(now: number): number {
    return this.speed.relativeTime(now);
  }

  /** Expected time until all outstanding prefills have ended, ms. */
  backlogMs(now: number): number {
    this.dropElapsed(now);
    const [first] = this.prefills.values();
    if (first === undefined) return 0;
    return this.outstandingMs - first.costMs + this.remainingMs(first, now);
  }

  addPrefill(
    id: string,
    work: PrefillWork,
    costMs: number,
    now: number,
    isAdopted = false,
  ): void {
    this.prefills.set(id, { work, costMs, addedAt: now, isAdopted });
    this.outstandingMs += costMs;
  }

  /**
   * Removes a prefill that has ended; the next one starts now. If `mayMeasure`,
   * its duration updates the time estimates.
   */
  endPrefill(id: string, mayMeasure: boolean, now: number): void {
    const prefill = this.prefills.get(id);
    if (prefill === undefined) return;
    this.prefills.delete(id);
    this.outstandingMs -= prefill.costMs;
    if (mayMeasure) this.measure(prefill, now);
    else this.stopMeasuring();
    this.lastPrefillEnd = now;
  }

  /** Marks the parts that are not cached as pending. */
  markPending(parts: readonly KeyedPart[]): void {
    for (const { key, tokens } of parts) {
      const cached = this.cache.get(key);
      if (cached === undefined)
        this.cache.set(key, { tokens, isComplete: false });
    }
  }

  /**
   * Marks the parts as cached, after a prefill or a copy from another engine.
   */
  markCached(parts: readonly KeyedPart[]): void {
    for (const { key, tokens } of parts) {
      this.cache.set(key, { tokens, isComplete: true });
    }
  }

  /** Drops the pending parts among these after their prefill failed. */
  dropPending(parts: readonly KeyedPart[]): void {
    for (const { key } of parts) {
      if (this.cache.peek(key)?.isComplete === false) this.cache.delete(key);
    }
  }

  /**
   * Drops grants whose end was never reported; returns the number of runs
   * dropped.
   */
  expire(now: number): number {
    for (const [id, prefill] of this.prefills) {
      if (now - prefill.addedAt > GRANT_TIMEOUT_MS)
        this.endPrefill(id, false, now);
    }
    return this.runs.expire(GRANT_TIMEOUT_MS, now);
  }

  /**
   * Drops adopted prefills at their expected end. They come from entries that
   * place by estimate since answers of the lease holder are late; their reports
   * are as late, and would make an idle engine look busy for up to a second.
   */
  private dropElapsed(now: number): void {
    for (const [id, { isAdopted, addedAt, costMs }] of this.prefills) {
      const endsAt = Math.max(addedAt, this.lastPrefillEnd) + costMs;
      if (!isAdopted || endsAt > now) return;
      this.endPrefill(id, false, now);
      this.lastPrefillEnd = endsAt;
    }
  }

  /** Expected remaining time of the current prefill, ms. */
  private remainingMs(
    { addedAt, costMs }: OutstandingPrefill,
    now: number,
  ): number {
    const startedAt = Math.max(addedAt, this.lastPrefillEnd);
    const leftMs = startedAt + costMs - now;
    const minMs = costMs * MIN_REMAINING_SHARE;
    return Math.max(leftMs, minMs, -leftMs * OVERDUE_FACTOR);
  }

  private leadingTokens(
    parts: readonly KeyedPart[],
    isUsable: (part: CachedPart) => boolean,
  ): number {
    let sum = 0;
    for (const { key, tokens } of parts) {
      const cached = this.cache.peek(key);
      if (cached === undefined || !isUsable(cached)) break;
      sum += tokens;
    }
    return sum;
  }

  /** Expected time of the work on an average engine of this stage, ms. */
  private nominalMs(work: PrefillWork): number {
    const stageFactor =
      this.view.stage === "decode" ? DECODE_PREFILL_FACTOR : 1;
    return this.model.estimateMs(work) * stageFactor;
  }

  private stopMeasuring(): void {
    this.unmeasured = undefined;
    this.speed.endPeriod();
  }

  /**
   * An engine prefills one prompt at a time, so a prefill takes the time since
   * the previous one ended. Prefills that end together are measured as one.
   */
  private measure(prefill: OutstandingPrefill, now: number): void {
    this.measureSpeed(prefill, now);
    const startedAt = Math.max(prefill.addedAt, this.lastPrefillEnd);
    const isAlone = prefill.addedAt >= this.lastPrefillEnd;
    if (isAlone) this.unmeasured = undefined;
    const { unmeasured } = this;
    const work = unmeasured ? addWork(unmeasured, prefill.work) : prefill.work;
    const since = unmeasured ? this.unmeasuredSince : startedAt;
    const tookMs = now - since;
    if (tookMs < MIN_MEASURED_MS && !isAlone) {
      this.unmeasured = work;
      this.unmeasuredSince = since;
      return;
    }
    this.unmeasured = undefined;
    this.model.observe(work, tookMs);
  }

  private measureSpeed(
    { addedAt, work }: OutstandingPrefill,
    now: number,
  ): void {
    if (!this.model.isCalibrated) return;
    const expectedMs = this.nominalMs(work);
    const isLast = this.prefills.size === 0;
    this.speed.recordEnd({ addedAt, expectedMs, isLast }, now);
  }
}
