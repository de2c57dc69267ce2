/** Smoothed token rates from counters that only grow. */

/** Counters of one engine as its side reports them. */
export interface TokenCounters {
  prefillTokens: number;
  outputTokens: number;
}

export interface TokenRates {
  counters: TokenCounters;
  at: number;
  prefillPerSecond: number;
  decodePerSecond: number;
}

/** Time over which a rate forgets, ms. */
const SMOOTHING_MS = 10_000;
const MS = 1000;

/** The rates after a new reading; counters that shrank start again. */
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
  const passed = now - before.at;
  if (passed <= 0) return before;
  const weight = 1 - Math.exp(-passed / SMOOTHING_MS);
  const rate = (later: number, earlier: number) =>
    ((later - earlier) / passed) * MS;
  const mix = (old: number, fresh: number) => old + weight * (fresh - old);
  const { counters: old } = before;
  return {
    counters,
    at: now,
    prefillPerSecond: mix(
      before.prefillPerSecond,
      rate(counters.prefillTokens, old.prefillTokens),
    ),
    decodePerSecond: mix(
      before.decodePerSecond,
      rate(counters.outputTokens, old.outputTokens),
    ),
  };
};
