/**
 * How many sends beyond the first of each request this entry may make, a
 * service. Entries don't ask each other: each earns by its own requests, and
 * the small stock that it starts with is its part of the fleet's.
 */
import { addTokens, takeTokens } from "../shared/tokenBucket.js";
import type { TokenBucket } from "../shared/tokenBucket.js";

/** Part of the allowed ratio that is used; the rest covers the spread. */
const USED_PART = 0.75;
/** Entries among which the fleet's stock is divided, at the most. */
const MOST_ENTRIES = 32;
/** Requests whose earnings are kept at the most. */
const KEPT_REQUESTS = 60;

export interface RetryLimits {
  /** Allowed sends beyond the first, a request. */
  ratio: number;
  /** Allowed beyond that over all entries in one window. */
  burst: number;
}

export class RetryBudgets {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly earned: number;
  private readonly stock: number;

  constructor(
    limits: RetryLimits,
    private readonly now: () => number,
  ) {
    this.earned = limits.ratio * USED_PART;
    this.stock = Math.max(1, limits.burst / MOST_ENTRIES);
  }

  /** A request came: it earns a part of a further send. */
  earn(service: string): void {
    const bucket = addTokens(this.bucket(service), this.earned, this.now());
    this.buckets.set(service, bucket);
  }

  /** Takes one further send, if there is one. */
  spend(service: string): boolean {
    const { bucket, taken } = takeTokens(this.bucket(service), 1, this.now());
    this.buckets.set(service, bucket);
    return taken;
  }

  private bucket(service: string): TokenBucket {
    const known = this.buckets.get(service);
    if (known !== undefined) return known;
    const capacity = this.stock + KEPT_REQUESTS * this.earned;
    return { tokens: this.stock, capacity, perMs: 0, at: this.now() };
  }
}
