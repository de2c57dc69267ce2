/**
 * Finds the window in which most retries of those that were allowed were sent.
 * All times are in ms.
 */

/** Limits on the retries that one service receives from all entries together. */
export interface RetryLimits {
  /** Retries allowed per request. */
  ratio: number;
  /** Additional retries allowed per window. */
  burst: number;
  windowMs: number;
}

export interface RetryWindow {
  from: number;
  retries: number;
  requests: number;
  allowed: number;
}

/** Number of times before the given one; `times` is sorted. */
const countBefore = (times: readonly number[], end: number): number => {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((times[middle] ?? Infinity) < end) low = middle + 1;
    else high = middle;
  }
  return low;
};

/**
 * The requests of a window are those sent in it, in the window before it or in
 * the one half a window before it, whichever are most. Undefined if there are
 * no retries.
 */
export const worstWindow = (
  requests: readonly number[],
  retries: readonly number[],
  { ratio, burst, windowMs }: RetryLimits,
): RetryWindow | undefined => {
  const inOrder = (times: readonly number[]) =>
    [...times].sort((left, right) => left - right);
  const sentAt = inOrder(requests);
  const retriedAt = inOrder(retries);
  const countIn = (times: readonly number[], from: number): number =>
    countBefore(times, from + windowMs) - countBefore(times, from);
  let worst: RetryWindow | undefined;
  for (const from of new Set(retriedAt)) {
    const starts = [from, from - windowMs / 2, from - windowMs];
    const sent = Math.max(...starts.map((start) => countIn(sentAt, start)));
    const allowed = sent * ratio + burst;
    const found = countIn(retriedAt, from);
    const isWorse =
      worst === undefined || found / allowed > worst.retries / worst.allowed;
    if (isWorse) worst = { from, retries: found, requests: sent, allowed };
  }
  return worst;
};
