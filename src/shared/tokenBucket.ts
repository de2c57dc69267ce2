/** A token bucket as a pure value: state in, state out, time passed in. */

export interface TokenBucket {
  tokens: number;
  /** Largest number of tokens held. */
  capacity: number;
  /** Tokens that come back in one ms. */
  perMs: number;
  /** When `tokens` was worked out, ms of a monotonic clock. */
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
  const held = Math.min(bucket.capacity, bucket.tokens + gained);
  return { ...bucket, tokens: held, at: Math.max(now, bucket.at) };
};

/** Takes `amount` if it is there. */
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

/** Adds tokens, up to the capacity. */
export const addTokens = (
  bucket: TokenBucket,
  amount: number,
  now: number,
): TokenBucket => {
  const fresh = refilled(bucket, now);
  const held = Math.min(fresh.capacity, fresh.tokens + amount);
  return { ...fresh, tokens: held };
};
