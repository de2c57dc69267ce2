/** Capacity of rate-limited engines, for wait estimates. Pure. */
import type { EnginePermits } from "../rateLimits/index.js";
import type { EngineState } from "./engineState.js";

const MS_PER_SECOND = 1000;

/**
 * Effective number of prefill engines. A rate-limited engine counts as the
 * share of its time that the prompts it accepts would fill.
 */
export const effectivePrefillEngines = (
  prefillEngines: readonly EngineState[],
  permits: EnginePermits,
  meanPrefillMs: number,
  now: number,
): number =>
  prefillEngines.reduce((sum, { view }) => {
    const perS = permits.ratePerS(view.id, now);
    if (perS === Infinity) return sum + 1;
    return sum + Math.min(1, (perS * meanPrefillMs) / MS_PER_SECOND);
  }, 0);

/**
 * Mean interval between permits across these engines, ms; 0 if any of them is
 * unlimited or there are none.
 */
export const permitIntervalMs = (
  engines: readonly EngineState[],
  permits: EnginePermits,
  now: number,
): number => {
  if (engines.length === 0) return 0;
  const perS = engines.reduce(
    (sum, { view }) => sum + permits.ratePerS(view.id, now),
    0,
  );
  return MS_PER_SECOND / perS;
};
