/** What engines that name a limit can take, for expected waits. Pure. */
import type { EnginePermits } from "../rateLimits/index.js";
import type { EngineState } from "./engineState.js";

const MS_PER_SECOND = 1000;

/**
 * Engines that may be given prompts all the time; a limited one counts as the
 * part of its time that the prompts it takes would fill.
 */
export const effectivePrefillEngines = (
  readers: readonly EngineState[],
  permits: EnginePermits,
  meanPrefillMs: number,
  now: number,
): number =>
  readers.reduce((sum, { view }) => {
    const perS = permits.ratePerS(view.id, now);
    if (perS === Infinity) return sum + 1;
    return sum + Math.min(1, (perS * meanPrefillMs) / MS_PER_SECOND);
  }, 0);

/** Between two requests to any of these, ms; 0 where one takes all. */
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
