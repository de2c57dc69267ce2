/** The clock that decisions are given. */

/** Milliseconds of a clock that only goes forward. */
export const monotonicNow = (): number => performance.now();
