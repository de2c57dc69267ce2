/** What a reply or its absence proves, and the failure that callers get. */
import type { RequestFailure } from "../shared/errors.js";
import type { Rng } from "../shared/rng.js";
import type { Verdict } from "../shared/verdict.js";
import type { ReplyHead } from "./types.js";

/** When a caller may come back where no replica took the request, ms. */
const BUSY_RETRY_MS = 400;
/** Callers who were refused in one back-off come back spread over this, ms. */
const AFTER_BACK_OFF_JITTER_MS = 500;
/** When a caller may come back whose time ran out before it was sent, ms. */
const DEADLINE_RETRY_MS = 1000;

/** What is wrong with the head of a reply; undefined if nothing is. */
export const replyFault = (
  reply: ReplyHead,
  requestId: string,
): string | undefined => {
  if (reply.requestId !== undefined && reply.requestId !== requestId) {
    return "the answer belongs to another request";
  }
  const isSuccess = reply.status >= 200 && reply.status < 300;
  if (isSuccess && !reply.isSigned) return "the answer is not signed";
  if (reply.isEncoded) return "the body is encoded";
  if (!reply.isNotRun && reply.isPromise) {
    return `status ${reply.status} without proof that nothing ran`;
  }
  return undefined;
};

/**
 * When a caller may come back who was refused since replicas back off, ms: past
 * the end of the back-off, where one send goes first, and not all at once.
 */
export const afterBackOffMs = (leftMs: number, rng: Rng): number =>
  leftMs + rng() * AFTER_BACK_OFF_JITTER_MS;

/** The failure of a request that no replica answered. */
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

/** The failure of a request whose time is over. */
export const deadlineFailure = (verdict: Verdict): RequestFailure => ({
  status: verdict === "not-run" ? 503 : 504,
  code: "deadline",
  message: "its time is over",
  verdict,
  retryAfterMs: verdict === "not-run" ? DEADLINE_RETRY_MS : undefined,
});
