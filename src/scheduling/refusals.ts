/** Refusals and their retry times. Pure. */
import type { PlacementRequest, Refusal, RefusalCause } from "./types.js";

/**
 * Share of the remaining deadline after which a refused caller should retry.
 * After a shorter delay the engines are often still full, and a second
 * refusal is worse for the caller. Callers don't wait for longer than a third
 * of their time.
 */
const RETRY_SHARE = 0.33;
const MIN_RETRY_MS = 200;
/** Longest retry delay, ms; long answers need the rest of their time. */
const MAX_RETRY_MS = 1000;

/**
 * `waitMs`: expected wait until the request could start on rate-limited
 * engines.
 */
export const refuse = (
  request: PlacementRequest,
  why: RefusalCause,
  waitMs = 0,
): Refusal => {
  if (why === "limited") {
    return {
      kind: "refused",
      why,
      retryAfterMs: Math.max(MIN_RETRY_MS, waitMs),
    };
  }
  const retryAfterMs = usualRetryMs(request.deadlineLeftMs);
  return { kind: "refused", why, retryAfterMs };
};

/** Retry delay after a refusal for lack of capacity, ms. */
export const usualRetryMs = (deadlineLeftMs: number): number => {
  const delayMs = Math.max(MIN_RETRY_MS, deadlineLeftMs * RETRY_SHARE);
  return Math.min(MAX_RETRY_MS, delayMs);
};
