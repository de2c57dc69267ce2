/** Builds the failures that callers get. */
import type { RequestFailure } from "../shared/errors.js";
import type { Rng } from "../shared/rng.js";
import type { Verdict } from "../shared/verdict.js";

/** Retry delay for callers when no replica accepted the request, ms. */
const BUSY_RETRY_MS = 400;
/** Maximum jitter on the retries of callers refused in one back-off, ms. */
const AFTER_BACK_OFF_JITTER_MS = 500;
/** Retry delay after a deadline that passed before the request ran, ms. */
const DEADLINE_RETRY_MS = 1000;

/**
 * Retry delay for a caller refused because replicas back off, ms. It lies past
 * the end of the back-off, when a single probe is sent first, and has jitter
 * so that callers do not all return at once.
 */
export const afterBackOffMs = (leftMs: number, rng: Rng): number =>
  leftMs + rng() * AFTER_BACK_OFF_JITTER_MS;

/** The failure of a request that got no usable response from any replica. */
export const failureOf = (
  verdict: Verdict,
  why: string,
  retryAfterMs = BUSY_RETRY_MS,
): RequestFailure => {
  if (verdict === "not-run") {
    return {
      status: 503,
      code: "overloaded",
      message: why,
      verdict,
      retryAfterMs,
    };
  }
  return { status: 502, code: "cut", message: why, verdict };
};

/** The failure of a request whose deadline has passed. */
export const deadlineFailure = (verdict: Verdict): RequestFailure => ({
  status: verdict === "not-run" ? 503 : 504,
  code: "deadline",
  message: "its time is over",
  verdict,
  retryAfterMs: verdict === "not-run" ? DEADLINE_RETRY_MS : undefined,
});
