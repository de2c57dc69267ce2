/** Smoothed token rates from monotonic counters. */

/** Token counters of one engine as reported by its side. */
export interface TokenCounters {
  prefillTokens: number;
  outputTokens: number;
}

/** Smoothed rates with the reading that they were last updated from. */
export interface TokenRates {
  counters: TokenCounters;
  /** Time of the reading, ms. */
  at: number;
  prefillPerSecond: number;
  decodePerSecond: number;
}

/** Time constant of the exponential smoothing, ms. */
const SMOOTHING_MS = 10_000;
const MS = 1000;

/** Updates the rates from a new reading; a counter reset restarts them at 0. */
export const updateTokenRates = (
  before: TokenRates | undefined,
  counters: TokenCounters,
  now: number,
): TokenRates => {
  if (
    before === undefined ||
    counters.prefillTokens < before.counters.prefillTokens
  ) {
    return { counters, at: now, prefillPerSecond: 0, decodePerSecond: 0 };
  }
  const elapsedMs = now - before.at;
  if (elapsedMs <= 0) return before;
  const weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS);
  const rate = (later: number, earlier: number) =>
    ((later - earlier) / elapsedMs) * MS;
  const smooth = (old: number, fresh: number) => old + weight * (fresh - old);
  const { counters: old } = before;
  return {
    counters,
    at: now,
    prefillPerSecond: smooth(
      before.prefillPerSecond,
      rate(counters.prefillTokens, old.prefillTokens),
    ),
    decodePerSecond: smooth(
      before.decodePerSecond,
      rate(counters.outputTokens, old.outputTokens),
    ),
  };
};
