/**
 * Chooses the decode engine that prefills and runs a request whose body is to
 * be sent only once, because the link of its entry is nearly full. Pure; times
 * are ms.
 */
import type { EngineState } from "./engineState.js";
import { planAt } from "./prefillPlanner.js";
import type { PrefillPlan } from "./prefillPlanner.js";
import type { PromptCacheLookup } from "./promptCache.js";
import type { PlacementRequest } from "./types.js";

/**
 * Longest pause of an engine's streams for prefills, ms. Longer stalls make
 * streams late.
 */
const MAX_STREAM_PAUSE_MS = 150;

export interface WholeCandidates {
  request: PlacementRequest;
  cache: PromptCacheLookup;
  /** Decode engines with capacity for the run. */
  withCapacity: readonly EngineState[];
  /** Engines from which cached parts may be copied. */
  donors: readonly EngineState[];
  /** Time by which the prefill must end. */
  limitMs: number;
  /** Largest backlog at which an engine is given another prompt. */
  maxBacklogMs: number;
  now: number;
}

/**
 * `start`: grant this plan now; `wait`: an engine can do it in time once its
 * backlog has shrunk; `none`: no decode engine can do it in time.
 */
export type WholeChoice =
  { kind: "start"; plan: PrefillPlan } | { kind: "wait" } | { kind: "none" };

/** Chooses the decode engine on which the prefill would end first. */
export const chooseWhole = (candidates: WholeCandidates): WholeChoice => {
  const { request, cache, withCapacity, limitMs, now } = candidates;
  const donor = cache.findDonor(candidates.donors);
  let best: PrefillPlan | undefined;
  let canWait = false;
  for (const engine of withCapacity) {
    const plan = planAt(request, cache, engine, donor, now);
    if (plan.endMs > limitMs || !mayPause(engine, plan.costMs)) continue;
    canWait = true;
    const backlogMs = plan.endMs - plan.costMs;
    if (backlogMs > candidates.maxBacklogMs) continue;
    if (!mayPause(engine, plan.endMs)) continue;
    if (best === undefined || plan.endMs < best.endMs) best = plan;
  }
  if (best !== undefined) return { kind: "start", plan: best };
  return { kind: canWait ? "wait" : "none" };
};

/**
 * Prefill time of a whole request on the fastest of the decode engines;
 * undefined if the request is to be split, or takes longer than `limitMs`.
 */
export const wholePrefillMs = (
  request: PlacementRequest,
  cache: PromptCacheLookup,
  engines: readonly EngineState[],
  limitMs: number,
  now: number,
): number | undefined => {
  if (!request.isWhole) return undefined;
  const costs = engines
    .filter(({ view }) => view.stage === "decode")
    .map((engine) =>
      engine.prefillCostMs(
        request.promptTokens,
        cache.cachedTokens(engine),
        now,
      ),
    );
  const fastestMs = Math.min(Infinity, ...costs);
  return fastestMs <= limitMs ? fastestMs : undefined;
};

/**
 * Whether the engine may prefill for `ms` without a break. Each of its queued
 * prefills belongs to one of its runs, which has no stream yet.
 */
const mayPause = (engine: EngineState, ms: number): boolean =>
  engine.runCount <= engine.prefillCount || ms <= MAX_STREAM_PAUSE_MS;
