/** Why a request is refused, and when its caller may come back. Pure. */
import type { PlacementRequest, Refusal, RefusalCause } from "./types.js";

/**
 * Part of its time after which a refused caller is told to come back. What
 * fills the engines outlasts shorter pauses, and a caller that is refused
 * twice is worse off; callers don't wait for longer than a third of their
 * time.
 */
const RETRY_SHARE = 0.33;
const MIN_RETRY_MS = 200;
/** A long answer needs the rest of its time: no pause is longer, ms. */
const MAX_RETRY_MS = 1000;

/** `waitMs`: expected until it could begin, where engines are limited. */
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
  const delayMs = Math.max(MIN_RETRY_MS, request.deadlineLeftMs * RETRY_SHARE);
  const retryAfterMs = Math.min(MAX_RETRY_MS, delayMs);
  return { kind: "refused", why, retryAfterMs };
};
