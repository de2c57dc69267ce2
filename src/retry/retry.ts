/**
 * Decides whether a failed attempt is retried, and updates the retry budget.
 */
import type { RepeatPolicy } from "../config/index.js";
import { addTokens, takeTokens } from "../shared/tokenBucket.js";
import type { TokenBucket } from "../shared/tokenBucket.js";
import type { RequestFailure } from "../shared/errors.js";

/** Retry tokens added per request. */
const TOKENS_PER_REQUEST = 0.2;
/** Retries per second available even without traffic. */
const MIN_RETRIES_PER_SECOND = 5;
const MAX_BUDGET = 50;

/** Retry budget of one service at one entry. */
export const newRetryBudget = (now: number): TokenBucket => ({
  tokens: MAX_BUDGET,
  capacity: MAX_BUDGET,
  perMs: MIN_RETRIES_PER_SECOND / 1000,
  at: now,
});

/** Credits the budget for a first attempt, by a fraction of a retry. */
export const creditRetryBudget = (
  bucket: TokenBucket,
  now: number,
): TokenBucket => addTokens(bucket, TOKENS_PER_REQUEST, now);

export const MAX_ATTEMPTS = 4;

export interface RetryContext {
  failure: RequestFailure;
  repeat: RepeatPolicy;
  attempts: number;
  deadlineAt: number;
  now: number;
}

export type RetryDecision =
  | { kind: "again"; bucket: TokenBucket }
  | { kind: "give-up"; why: string; bucket: TokenBucket };

/**
 * A `not-run` failure may be retried elsewhere, `may-have-run` only if a repeat
 * is safe, `ran` never.
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
