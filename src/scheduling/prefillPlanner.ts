/**
 * Chooses the engine that prefills a prompt, and the engine from which it
 * first copies cached parts, and estimates when the prefill ends. Pure.
 */
import type { EngineState } from "./engineState.js";
import type { Donor, PromptCacheLookup } from "./promptCache.js";
import type { PlacementRequest } from "./types.js";

/** Weight of the prefill time as a cost to other requests. */
const PREFILL_WEIGHT = 1;
/**
 * Longest prefill on a decode engine that also has runs, ms. Its streams stall
 * meanwhile, and stalls beyond about 150 ms make them late.
 */
const MAX_DECODE_PREFILL_MS = 60;
/** Fewer tokens are recomputed rather than copied from another engine. */
const MIN_DONATED_TOKENS = 512;
/**
 * Fixed time to copy cached parts from another engine, ms, and time per token.
 * Links carry a token in 0.1 microseconds, but transfers queue behind each
 * other.
 */
const COPY_MS = 1;
const COPY_MS_PER_TOKEN = 0.0004;

export interface PrefillPlan {
  engine: EngineState;
  /** Tokens that need no prefill: cached, or copied from another engine. */
  cached: number;
  /** Expected time of the prefill and of the copy from the donor, ms. */
  costMs: number;
  /** Expected time from now until the prefill ends, ms. */
  endMs: number;
  /** Engine to copy cached parts from, if that is worthwhile. */
  donor: EngineState | undefined;
}

/**
 * Chooses the prefill engine with the lowest sum of end time and weighted cost;
 * undefined if there is none. `reserved`: prefill time on each engine that is
 * set aside for requests further ahead in the queue, ms.
 */
export const planPrefill = (
  request: PlacementRequest,
  cache: PromptCacheLookup,
  available: readonly EngineState[],
  now: number,
  reserved: ReadonlyMap<EngineState, number> = new Map(),
): PrefillPlan | undefined => {
  const donor = cache.findDonor(available);
  let best: (PrefillPlan & { score: number }) | undefined;
  for (const engine of available) {
    if (engine.view.stage !== "prefill") continue;
    const plan = planAt(request, cache, engine, donor, now);
    plan.endMs += reserved.get(engine) ?? 0;
    const score = plan.endMs + plan.costMs * PREFILL_WEIGHT;
    if (best === undefined || score < best.score) best = { ...plan, score };
  }
  return best;
};

/**
 * Chooses the decode engine that can prefill the prompt itself first;
 * undefined if none can within `limitMs`. `withCapacity`: engines with capacity
 * for the run; `donors`: engines from which cached parts may be copied.
 */
export const planDecodePrefill = (
  request: PlacementRequest,
  cache: PromptCacheLookup,
  withCapacity: readonly EngineState[],
  donors: readonly EngineState[],
  limitMs: number,
  now: number,
): PrefillPlan | undefined => {
  const donor = cache.findDonor(donors);
  let best: PrefillPlan | undefined;
  for (const engine of withCapacity) {
    if (engine.view.stage !== "decode" || engine.prefillCount > 0) continue;
    const plan = planAt(request, cache, engine, donor, now);
    if (plan.costMs > MAX_DECODE_PREFILL_MS || plan.endMs > limitMs) continue;
    if (best === undefined || plan.endMs < best.endMs) best = plan;
  }
  return best;
};

/** The prefill of the request on this engine, with a copy if it pays. */
export const planAt = (
  request: PlacementRequest,
  cache: PromptCacheLookup,
  engine: EngineState,
  donor: Donor | undefined,
  now: number,
): PrefillPlan => {
  const ownCached = cache.cachedTokens(engine);
  const extraTokens = (donor?.cached ?? 0) - ownCached;
  const shouldCopy = donor !== undefined && extraTokens >= MIN_DONATED_TOKENS;
  const cached = shouldCopy ? donor.cached : ownCached;
  const copyMs = shouldCopy ? COPY_MS + extraTokens * COPY_MS_PER_TOKEN : 0;
  const costMs =
    engine.prefillCostMs(request.promptTokens, cached, now) + copyMs;
  const endMs = engine.backlogMs(now) + costMs;
  return {
    engine,
    cached,
    costMs,
    endMs,
    donor: shouldCopy ? donor.engine : undefined,
  };
};
