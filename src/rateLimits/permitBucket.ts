/**
 * Token bucket of permits for the process that allocates a replica's rate. It
 * starts empty, so that a new allocator adds nothing to what the previous one
 * has given out. Pure; times are ms.
 */
import { addTokens, takeTokens } from "../shared/tokenBucket.js";
import type { TokenBucket } from "../shared/tokenBucket.js";

/** Burst capacity as time at the current rate, ms. */
const BURST_MS = 500;
/**
 * Minimum burst capacity in permits: with one, permits are lost while they wait
 * for a request.
 */
const MIN_CAPACITY = 2;
const MS_PER_SECOND = 1000;

export class PermitBucket {
  private bucket: TokenBucket;

  constructor(now: number) {
    this.bucket = { tokens: 0, capacity: MIN_CAPACITY, perMs: 0, at: now };
  }

  /** Sets the rate at which permits are added. */
  setRate(perS: number, now: number): void {
    const filled = addTokens(this.bucket, 0, now);
    const perMs = perS / MS_PER_SECOND;
    const capacity = Math.max(MIN_CAPACITY, perMs * BURST_MS);
    const tokens = Math.min(capacity, filled.tokens);
    this.bucket = { ...filled, tokens, capacity, perMs };
  }

  get isAvailable(): boolean {
    return this.bucket.tokens >= 1;
  }

  take(now: number): boolean {
    const { bucket, taken } = takeTokens(this.bucket, 1, now);
    this.bucket = bucket;
    return taken;
  }

  /** Time until a permit is available, ms. */
  get waitMs(): number {
    const { tokens, perMs } = this.bucket;
    return Math.max(0, (1 - tokens) / perMs);
  }
}
