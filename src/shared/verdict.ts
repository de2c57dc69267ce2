/** Whether a failed request may have run on an upstream. */

export const VERDICTS = ["not-run", "may-have-run", "ran"] as const;

/**
 * - `not-run`: provably, no upstream started the request.
 * - `may-have-run`: bytes reached an upstream; the outcome is unknown.
 * - `ran`: the upstream finished it, but the response can't be delivered.
 */
export type Verdict = (typeof VERDICTS)[number];

export const isVerdict = (value: unknown): value is Verdict =>
  VERDICTS.includes(value as Verdict);

/** The verdict for two attempts: the later one in `VERDICTS`. */
export const worseVerdict = (left: Verdict, right: Verdict): Verdict =>
  VERDICTS.indexOf(left) >= VERDICTS.indexOf(right) ? left : right;
