/** Whether a failed attempt is tried again, and where the budget stands. */
import type { Repeat } from "../config/index.js";
import { addTokens, takeTokens } from "../shared/tokenBucket.js";
import type { TokenBucket } from "../shared/tokenBucket.js";
import type { RequestFailure } from "../shared/errors.js";

/** Retries that each request earns. */
const EARNED_PER_REQUEST = 0.2;
/** Retries a second that a quiet service has. */
const LEAST_PER_SECOND = 5;
const LARGEST_BUDGET = 50;

/** Retries of one service, at one entry. */
export const newRetryBudget = (now: number): TokenBucket => ({
  tokens: LARGEST_BUDGET,
  capacity: LARGEST_BUDGET,
  perMs: LEAST_PER_SECOND / 1000,
  at: now,
});

/** A first attempt was made: it earns a part of a retry. */
export const creditRetryBudget = (
  bucket: TokenBucket,
  now: number,
): TokenBucket => addTokens(bucket, EARNED_PER_REQUEST, now);

export const MAX_ATTEMPTS = 4;

export interface RetryContext {
  failure: RequestFailure;
  repeat: Repeat;
  attempts: number;
  deadlineAt: number;
  now: number;
}

export type RetryDecision =
  | { kind: "again"; bucket: TokenBucket }
  | { kind: "give-up"; why: string; bucket: TokenBucket };

/**
 * `not-run` may go elsewhere; `may-have-run` only where a repeat is safe;
 * `ran` never.
 */
export const decideRetry = (
  question: RetryContext,
  bucket: TokenBucket,
): RetryDecision => {
  const { failure, repeat, attempts, deadlineAt, now } = question;
  const giveUp = (why: string): RetryDecision => ({
    kind: "give-up",
    why,
    bucket,
  });
  if (failure.verdict === "ran") return giveUp("it ran");
  const isUnsafe = failure.verdict === "may-have-run" && repeat === "never";
  if (isUnsafe) return giveUp("it may have run and must not be repeated");
  if (now >= deadlineAt) return giveUp("its deadline is over");
  if (attempts >= MAX_ATTEMPTS) return giveUp("attempts are used up");
  const spent = takeTokens(bucket, 1, now);
  if (!spent.taken) return giveUp("the retry budget is used up");
  return { kind: "again", bucket: spent.bucket };
};
