/**
 * Permits of a process that spends the rate of one replica by itself. It
 * starts empty, so that a process which has just become the one that spends
 * adds nothing to what the one before has given out. Pure; times are ms.
 */
import { addTokens, takeTokens } from "../shared/tokenBucket.js";
import type { TokenBucket } from "../shared/tokenBucket.js";

/** Permits of so much time are kept for a burst, ms, … */
const STOCK_MS = 500;
/** … and so many at least: with one, each waits for a request in vain. */
const LEAST_STOCK = 2;
const MS_PER_SECOND = 1000;

export class PermitBucket {
  private bucket: TokenBucket;

  constructor(now: number) {
    this.bucket = { tokens: 0, capacity: LEAST_STOCK, perMs: 0, at: now };
  }

  /** From now on they come at this rate. */
  setRate(perS: number, now: number): void {
    const filled = addTokens(this.bucket, 0, now);
    const perMs = perS / MS_PER_SECOND;
    const capacity = Math.max(LEAST_STOCK, perMs * STOCK_MS);
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

  /** Until there is one, ms. */
  get waitMs(): number {
    const { tokens, perMs } = this.bucket;
    return Math.max(0, (1 - tokens) / perMs);
  }
}
