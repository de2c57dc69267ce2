/**
 * Which engine reads a prompt, when it will have read it, and from which
 * engine it takes cached parts first. Pure.
 */
import type { EngineState } from "./engineState.js";
import type { Donor, PromptCacheLookup } from "./promptCache.js";
import type { PlacementRequest } from "./types.js";

/** Weight of an engine's reading time as a cost to everybody else. */
const PREFILL_WEIGHT = 1;
/**
 * Longest read that a decode engine does besides its runs, ms: its streams
 * pause meanwhile, and pauses beyond some 150 ms make them late.
 */
const MAX_DECODE_PREFILL_MS = 60;
/** Parts of fewer tokens are read again rather than moved. */
const MIN_DONATED_TOKENS = 512;
/**
 * Time to take cached parts from another engine, ms. Links carry a token in
 * a tenth of a microsecond, but moves wait for each other.
 */
const MOVE_MS = 1;
const MOVE_MS_PER_TOKEN = 0.0004;

export interface PrefillPlan {
  engine: EngineState;
  /** Tokens that it need not read: held, or taken from another engine. */
  cached: number;
  costMs: number;
  /** From now until it is read, ms. */
  endMs: number;
  /** Engine to take cached parts from, if that is worth it. */
  donor: EngineState | undefined;
}

/**
 * The prefill engine that has read the prompt first and at least cost.
 * `meant`: reading that engines are to be given first, ms.
 */
export const planPrefill = (
  request: PlacementRequest,
  cache: PromptCacheLookup,
  open: readonly EngineState[],
  now: number,
  reserved: ReadonlyMap<EngineState, number> = new Map(),
): PrefillPlan | undefined => {
  const donor = cache.findDonor(open);
  let best: (PrefillPlan & { score: number }) | undefined;
  for (const engine of open) {
    if (engine.view.stage !== "prefill") continue;
    const plan = planAt(request, cache, engine, donor, now);
    plan.endMs += reserved.get(engine) ?? 0;
    const score = plan.endMs + plan.costMs * PREFILL_WEIGHT;
    if (best === undefined || score < best.score) best = { ...plan, score };
  }
  return best;
};

/**
 * The decode engine that is first to read the prompt itself by `limitMs`;
 * undefined if none is. `open`: those with room for the run.
 */
export const planDecodePrefill = (
  request: PlacementRequest,
  cache: PromptCacheLookup,
  open: readonly EngineState[],
  all: readonly EngineState[],
  limitMs: number,
  now: number,
): PrefillPlan | undefined => {
  const donor = cache.findDonor(all);
  let best: PrefillPlan | undefined;
  for (const engine of open) {
    if (engine.view.stage !== "decode" || engine.prefillCount > 0) continue;
    const plan = planAt(request, cache, engine, donor, now);
    if (plan.costMs > MAX_DECODE_PREFILL_MS || plan.endMs > limitMs) continue;
    if (best === undefined || plan.endMs < best.endMs) best = plan;
  }
  return best;
};

const planAt = (
  request: PlacementRequest,
  cache: PromptCacheLookup,
  engine: EngineState,
  donor: Donor | undefined,
  now: number,
): PrefillPlan => {
  const own = cache.cachedTokens(engine);
  const more = (donor?.cached ?? 0) - own;
  const isWorth = donor !== undefined && more >= MIN_DONATED_TOKENS;
  const cached = isWorth ? donor.cached : own;
  const moveMs = isWorth ? MOVE_MS + more * MOVE_MS_PER_TOKEN : 0;
  const costMs = engine.prefillCostMs(request.promptTokens, cached) + moveMs;
  const endMs = engine.backlogMs(now) + costMs;
  return {
    engine,
    cached,
    costMs,
    endMs,
    donor: isWorth ? donor.engine : undefined,
  };
};
