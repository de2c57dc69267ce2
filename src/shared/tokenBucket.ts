/** A token bucket as an immutable value; functions return the new state. */

export interface TokenBucket {
  tokens: number;
  /** Maximum number of tokens. */
  capacity: number;
  /** Tokens refilled per ms. */
  perMs: number;
  /** When `tokens` was last updated, ms of a monotonic clock. */
  at: number;
}

export const newTokenBucket = (
  capacity: number,
  perSecond: number,
  now: number,
): TokenBucket => ({
  tokens: capacity,
  capacity,
  perMs: perSecond / 1000,
  at: now,
});

const refilled = (bucket: TokenBucket, now: number): TokenBucket => {
  const gained = Math.max(0, now - bucket.at) * bucket.perMs;
  const tokens = Math.min(bucket.capacity, bucket.tokens + gained);
  return { ...bucket, tokens, at: Math.max(now, bucket.at) };
};

/** Takes `amount` tokens if the bucket has that many. */
export const takeTokens = (
  bucket: TokenBucket,
  amount: number,
  now: number,
): { bucket: TokenBucket; taken: boolean } => {
  const fresh = refilled(bucket, now);
  if (fresh.tokens < amount) return { bucket: fresh, taken: false };
  return {
    bucket: { ...fresh, tokens: fresh.tokens - amount },
    taken: true,
  };
};

/** Adds tokens up to the capacity. */
export const addTokens = (
  bucket: TokenBucket,
  amount: number,
  now: number,
): TokenBucket => {
  const fresh = refilled(bucket, now);
  const tokens = Math.min(fresh.capacity, fresh.tokens + amount);
  return { ...fresh, tokens };
};
