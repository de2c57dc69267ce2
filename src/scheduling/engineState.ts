/**
 * What the scheduler knows of one engine: the reads it has given out, the
 * runs, the cache and the measured pace. All times are ms of one clock.
 */
import { LRUCache } from "lru-cache";
import { median } from "simple-statistics";

import { EngineRuns } from "./engineRuns.js";
import type { KeyedPart } from "./promptCache.js";
import { addWork, workOf } from "./readPace.js";
import type { ReadPace, ReadWork } from "./readPace.js";
import { TokenPace } from "./tokenPace.js";
import type { EngineView } from "./types.js";

/** An engine that makes tokens reads at half the pace. */
const DECODE_READ_FACTOR = 2;
/** Reads from which an engine is known to be slower, or quicker, than others. */
const LEAST_RATIOS = 3;
const KEPT_RATIOS = 7;
/** Bounds of an engine's time over that of the others. */
const SLOWEST_FACTOR = 20;
const FASTEST_FACTOR = 0.3;
/** Reads that end closer behind one another are measured as one, ms. */
const LEAST_MEASURED_MS = 4;
/** An engine that failed gets no work for this long at first, ms. */
const FIRST_CLOSE_MS = 700;
export const LONGEST_CLOSE_MS = 6000;
const FAILURES_TO_CLOSE = 2;
/** Share of the memory that idle cached parts can be expected to keep. */
const CACHE_SHARE = 0.85;
/** A grant nobody reported on is dropped after this, ms. */
const GRANT_LOST_MS = 6000;
/** A read that has not ended has at least this part of its time to go. */
const LEAST_LEFT_PART = 0.05;
/**
 * A read that is overdue is expected to take so many times longer as it is
 * overdue. Counted as done at its expected end, it would let a slow engine get
 * more and more that it can't serve.
 */
const OVERDUE_FACTOR = 1;

interface Read {
  work: ReadWork;
  costMs: number;
  at: number;
}

interface CachedPart {
  tokens: number;
  /** False while the read that brings it has not ended. */
  isRead: boolean;
}

export class EngineState {
  private readonly reads = new Map<string, Read>();
  readonly runs: EngineRuns;
  private readonly cache: LRUCache<string, CachedPart>;
  /** Expected time of all reads that have not ended, ms. */
  private outstandingMs = 0;
  private lastReadEnd = 0;
  /** Read since the last measurement, in a time too short for one. */
  private unmeasured: ReadWork | undefined;
  private unmeasuredSince = 0;
  /** Times of the last reads over those of the service's engines. */
  private readonly ratios: number[] = [];
  /** No work before this instant: it changes its stage. */
  changesUntil = 0;
  /** No work before this instant, where others can do it: it failed. */
  private closedUntil = 0;
  private failures = 0;

  constructor(
    public view: EngineView,
    /** Of all engines of the service. */
    private readonly pace: ReadPace,
    tokenPace = new TokenPace(),
  ) {
    this.runs = new EngineRuns(() => this.view.slots, tokenPace);
    this.cache = new LRUCache<string, CachedPart>({
      maxSize: Math.max(1, Math.floor(view.kvCapacityTokens * CACHE_SHARE)),
      sizeCalculation: ({ tokens }) => Math.max(1, tokens),
    });
  }

  /** The list says this of it now; news of its stage end any doubt. */
  see(view: EngineView): void {
    if (view.stage !== this.view.stage) this.changesUntil = 0;
    this.view = view;
  }

  isClosed(now: number): boolean {
    return this.closedUntil > now;
  }

  /** A send to it ended well, or didn't. */
  judge(ok: boolean, now: number): void {
    if (ok) {
      this.failures = 0;
      return;
    }
    this.failures += 1;
    if (this.failures < FAILURES_TO_CLOSE || this.isClosed(now)) return;
    const times = this.failures - FAILURES_TO_CLOSE;
    const pause = Math.min(LONGEST_CLOSE_MS, FIRST_CLOSE_MS * 2 ** times);
    this.closedUntil = now + pause;
  }

  /** It answers nothing at all: others need not find that out too. */
  noteSilent(now: number): void {
    if (this.isClosed(now)) return;
    this.failures = Math.max(this.failures, FAILURES_TO_CLOSE);
    this.judge(false, now);
  }

  get readCount(): number {
    return this.reads.size;
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
    return this.tokensWhere(parts, () => true);
  }

  /**
   * Tokens at the start of the prompt that others can take from it now. Parts
   * that are still to be read can't be: an engine that was sent for them
   * would read them all itself.
   */
  heldTokens(parts: readonly KeyedPart[]): number {
    return this.tokensWhere(parts, ({ isRead }) => isRead);
  }

  /** Time to read a prompt of which `cached` tokens are held, ms. */
  readCostMs(promptTokens: number, cached: number): number {
    return this.costMs(workOf(promptTokens, cached));
  }

  /** Time until it has read what it was given, ms. */
  backlogMs(now: number): number {
    const [first] = this.reads.values();
    if (first === undefined) return 0;
    return this.outstandingMs - first.costMs + this.leftMs(first, now);
  }

  addRead(id: string, work: ReadWork, costMs: number, now: number): void {
    this.reads.set(id, { work, costMs, at: now });
    this.outstandingMs += costMs;
  }

  /** A read ended; what is left begins now. `isMeasure`: its time counts. */
  endRead(id: string, isMeasure: boolean, now: number): void {
    const read = this.reads.get(id);
    if (read === undefined) return;
    this.reads.delete(id);
    this.outstandingMs -= read.costMs;
    if (isMeasure) this.measure(read, now);
    else this.unmeasured = undefined;
    this.lastReadEnd = now;
  }

  /** It is about to read these parts, where it doesn't hold them. */
  expect(parts: readonly KeyedPart[]): void {
    for (const { key, tokens } of parts) {
      const known = this.cache.get(key);
      if (known === undefined) this.cache.set(key, { tokens, isRead: false });
    }
  }

  /** It has read these parts, or taken them from another engine. */
  remember(parts: readonly KeyedPart[]): void {
    for (const { key, tokens } of parts) {
      this.cache.set(key, { tokens, isRead: true });
    }
  }

  /** A read of these parts failed: those it was to bring are not there. */
  forget(parts: readonly KeyedPart[]): void {
    for (const { key } of parts) {
      if (this.cache.peek(key)?.isRead === false) this.cache.delete(key);
    }
  }

  /** Drops grants whose end was never reported; returns the number of runs. */
  expire(now: number): number {
    for (const [id, read] of this.reads) {
      if (now - read.at > GRANT_LOST_MS) this.endRead(id, false, now);
    }
    return this.runs.expire(GRANT_LOST_MS, now);
  }

  /** Time until the first read ends, ms. */
  private leftMs({ at, costMs }: Read, now: number): number {
    const begun = Math.max(at, this.lastReadEnd);
    const leftMs = begun + costMs - now;
    const leastMs = costMs * LEAST_LEFT_PART;
    return Math.max(leftMs, leastMs, -leftMs * OVERDUE_FACTOR);
  }

  private tokensWhere(
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

  private costMs(work: ReadWork): number {
    const stageFactor = this.view.stage === "decode" ? DECODE_READ_FACTOR : 1;
    return this.pace.expectMs(work) * this.factor * stageFactor;
  }

  /** Its time to read over that of the other engines. */
  private get factor(): number {
    const { ratios } = this;
    if (ratios.length < LEAST_RATIOS) return 1;
    return Math.min(SLOWEST_FACTOR, Math.max(FASTEST_FACTOR, median(ratios)));
  }

  /**
   * An engine reads one prompt after the other, so the time since the end of
   * the one before is this one's. Reads that end together are measured as one.
   */
  private measure(read: Read, now: number): void {
    const begun = Math.max(read.at, this.lastReadEnd);
    const isAlone = read.at >= this.lastReadEnd;
    if (isAlone) this.unmeasured = undefined;
    const { unmeasured } = this;
    const work = unmeasured ? addWork(unmeasured, read.work) : read.work;
    const since = unmeasured ? this.unmeasuredSince : begun;
    const tookMs = now - since;
    if (tookMs < LEAST_MEASURED_MS && !isAlone) {
      this.unmeasured = work;
      this.unmeasuredSince = since;
      return;
    }
    this.unmeasured = undefined;
    const { isSure } = this.pace;
    const expectedMs = this.pace.expectMs(work);
    this.pace.observe(work, tookMs);
    if (!isSure || expectedMs < LEAST_MEASURED_MS) return;
    this.ratios.push(tookMs / expectedMs);
    if (this.ratios.length > KEPT_RATIOS) this.ratios.shift();
  }
}
