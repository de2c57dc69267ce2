/**
 * A small model of one engine in virtual time: reads prompts one after the
 * other, makes tokens for all runs in steps, keeps parts of prompts, changes
 * its stage. Times are ms.
 */
import { LRUCache } from "lru-cache";

import type { Stage } from "../../src/scheduling/index.js";
import type { CachePart } from "../../src/scheduling/types.js";
import type { EngineSpec } from "./load.js";

const PAIRS_PER_M = 1e6;
const TOKENS_PER_K = 1000;
/** An engine that makes tokens reads at half the pace. */
const DECODE_PREFILL_FACTOR = 2;
/** Part of the memory that is left for cached parts. */
const CACHE_FRACTION = 0.8;

export class EngineModel {
  private readonly cache: LRUCache<string, number>;
  private prefillFreeAt = 0;
  runs = 0;
  /** Prompt and output tokens that the current runs hold in memory. */
  runTokens = 0;
  isDown = false;
  /** Set while it lets its runs end and changes. */
  changingTo: Stage | undefined;
  /** Grows with each crash: what was begun before is lost. */
  incarnation = 0;
  slowdown = 1;

  constructor(
    readonly id: string,
    public stage: Stage,
    readonly spec: EngineSpec,
    private readonly slowness: number,
  ) {
    this.cache = new LRUCache({
      maxSize: spec.kvCapacityTokens * CACHE_FRACTION,
      sizeCalculation: (tokens: number) => tokens,
    });
  }

  get acceptsWork(): boolean {
    return !this.isDown && this.changingTo === undefined;
  }

  crash(): void {
    this.isDown = true;
    this.incarnation += 1;
    this.runs = 0;
    this.runTokens = 0;
    this.cache.clear();
  }

  cachedTokens(parts: readonly CachePart[]): number {
    let held = 0;
    for (const { id, tokens } of parts) {
      if (this.cache.get(id) === undefined) break;
      held += tokens;
    }
    return held;
  }

  addToCache(parts: readonly CachePart[]): void {
    for (const { id, tokens } of parts) this.cache.set(id, tokens);
  }

  /** Reads a prompt after those before it; gives the instant of its end. */
  prefill(
    parts: readonly CachePart[],
    promptTokens: number,
    donor: EngineModel | undefined,
    now: number,
  ): number {
    const own = this.cachedTokens(parts);
    const offered = donor?.isDown === false ? donor.cachedTokens(parts) : 0;
    const held = Math.max(own, offered);
    const moveMs = (held - own) * this.spec.moveMsPerToken;
    const tookMs = moveMs + this.prefillMs(promptTokens, held);
    this.prefillFreeAt = Math.max(now, this.prefillFreeAt) + tookMs;
    this.addToCache(parts);
    return this.prefillFreeAt;
  }

  /** Time between two events of a run, at the present load. */
  eventMs(tokensPerEvent: number): number {
    const { stepMs, stepMsPerRun, stepMsPerKToken } = this.spec;
    const runTokensMs = (stepMsPerKToken * this.runTokens) / TOKENS_PER_K;
    const totalStepMs = stepMs + stepMsPerRun * this.runs + runTokensMs;
    return tokensPerEvent * totalStepMs * this.pace;
  }

  private get pace(): number {
    return this.slowness * this.slowdown;
  }

  private prefillMs(promptTokens: number, held: number): number {
    const { fixedMs, tokenMs, mPairMs } = this.spec;
    const tokens = Math.max(0, promptTokens - held);
    const mPairs = (tokens * (held + tokens / 2)) / PAIRS_PER_M;
    const factor = this.stage === "decode" ? DECODE_PREFILL_FACTOR : 1;
    return (fixedMs + tokens * tokenMs + mPairs * mPairMs) * factor * this.pace;
  }
}
