/**
 * What the scheduler knows of one engine: the reads it has given out, the
 * runs, the cache and the measured pace. All times are ms of one clock.
 */
import { LRUCache } from "lru-cache";

import type { KeyedPart } from "./promptCache.js";
import type { EngineView } from "./types.js";

/**
 * Prior of the time to read one token, ms; each engine's own pace is learnt
 * as a factor on top. From the engines of the first deployments (3 tokens in
 * 10 microseconds).
 */
const READ_MS_PER_TOKEN = 1 / 300;
/** Prior of the time for one million pairs of tokens in attention, ms. */
const READ_MS_PER_M_PAIRS = 0.15;
/** An engine that makes tokens reads at half the pace. */
const DECODE_READ_FACTOR = 2;
/** Weight of one new measurement of the pace. */
const PACE_GAIN = 0.15;
const SLOWEST_PACE = 20;
const FASTEST_PACE = 0.4;
/** A time shorter than this says nothing of the pace, ms. */
const LEAST_MEASURED_MS = 4;
/** Share of the memory that idle cached parts can be expected to keep. */
const CACHE_SHARE = 0.85;
/** A grant nobody reported on is dropped after this, ms. */
const GRANT_LOST_MS = 6000;

interface Read {
  costMs: number;
  at: number;
}

interface Run {
  tokens: number;
  at: number;
  deadlineAt: number;
}

export class EngineState {
  private readonly reads = new Map<string, Read>();
  private readonly runs = new Map<string, Run>();
  private readonly cache: LRUCache<string, number>;
  /** When it will have read all that was given to it. */
  private freeAt = 0;
  private lastReadEnd = 0;
  /** Measured time to read over the prior's. */
  pace = 1;
  runTokens = 0;
  /** No work before this instant: it failed, or changes its stage. */
  closedUntil = 0;
  failures = 0;

  constructor(public view: EngineView) {
    this.cache = new LRUCache<string, number>({
      maxSize: Math.max(1, Math.floor(view.kvCapacityTokens * CACHE_SHARE)),
      sizeCalculation: (tokens) => Math.max(1, tokens),
    });
  }

  get readCount(): number {
    return this.reads.size;
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** Tokens at the start of the prompt that it holds already. */
  cachedTokens(parts: readonly KeyedPart[]): number {
    let cached = 0;
    for (const { key, tokens } of parts) {
      if (!this.cache.has(key)) break;
      cached += tokens;
    }
    return cached;
  }

  /** Time to read a prompt of which `cached` tokens are held, ms. */
  readCostMs(promptTokens: number, cached: number): number {
    const fresh = Math.max(0, promptTokens - cached);
    const pairs = fresh * (cached + fresh / 2);
    const prior =
      fresh * READ_MS_PER_TOKEN + (pairs / 1e6) * READ_MS_PER_M_PAIRS;
    const factor = this.view.stage === "decode" ? DECODE_READ_FACTOR : 1;
    return prior * this.pace * factor;
  }

  /** Time until it has read what it was given, ms. */
  backlogMs(now: number): number {
    return Math.max(0, this.freeAt - now);
  }

  addRead(id: string, costMs: number, now: number): void {
    this.reads.set(id, { costMs, at: now });
    this.freeAt = Math.max(now, this.freeAt) + costMs;
  }

  /** A read ended; what is left begins now. */
  endRead(id: string, ok: boolean, now: number): void {
    const read = this.reads.get(id);
    if (read === undefined) return;
    this.reads.delete(id);
    if (ok) this.learnPace(read, now);
    this.lastReadEnd = now;
    this.freeAt = now + this.outstandingReadMs();
  }

  addRun(id: string, tokens: number, deadlineAt: number, now: number): void {
    this.runs.set(id, { tokens, at: now, deadlineAt });
    this.runTokens += tokens;
  }

  endRun(id: string): void {
    const run = this.runs.get(id);
    if (run === undefined) return;
    this.runs.delete(id);
    this.runTokens -= run.tokens;
  }

  remember(parts: readonly KeyedPart[]): void {
    for (const { key, tokens } of parts) this.cache.set(key, tokens);
  }

  /** Drops grants whose end was never reported. */
  expire(now: number): void {
    for (const [id, read] of this.reads) {
      if (now - read.at > GRANT_LOST_MS) this.endRead(id, false, now);
    }
    for (const [id, run] of this.runs) {
      if (now > run.deadlineAt + GRANT_LOST_MS) this.endRun(id);
    }
  }

  private outstandingReadMs(): number {
    let sum = 0;
    for (const read of this.reads.values()) sum += read.costMs;
    return sum;
  }

  private learnPace(read: Read, now: number): void {
    const begun = Math.max(read.at, this.lastReadEnd);
    const tookMs = now - begun;
    if (read.costMs < LEAST_MEASURED_MS || tookMs <= 0) return;
    const seen = (tookMs / read.costMs) * this.pace;
    const bounded = Math.min(SLOWEST_PACE, Math.max(FASTEST_PACE, seen));
    this.pace += (bounded - this.pace) * PACE_GAIN;
  }
}
