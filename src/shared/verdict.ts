/** What is known of a request that failed: whether it may have run. */

export const VERDICTS = ["not-run", "may-have-run", "ran"] as const;

/**
 * - `not-run`: proved that no upstream started the request.
 * - `may-have-run`: bytes reached an upstream; the outcome is unknown.
 * - `ran`: the upstream finished it, but the answer can't be delivered.
 */
export type Verdict = (typeof VERDICTS)[number];

export const isVerdict = (value: unknown): value is Verdict =>
  VERDICTS.includes(value as Verdict);

/** The weaker proof of two: what holds after both attempts. */
export const worseVerdict = (left: Verdict, right: Verdict): Verdict =>
  VERDICTS.indexOf(left) >= VERDICTS.indexOf(right) ? left : right;
