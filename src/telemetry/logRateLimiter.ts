/**
 * Bounds how many lines of one kind are logged in a second, so that a burst
 * of one outcome neither fills the log nor hides the others. What is left
 * out is counted. Pure.
 */
import { newTokenBucket, takeTokens } from "../shared/tokenBucket.js";
import type { TokenBucket } from "../shared/tokenBucket.js";

/** Lines of one kind in a second, and at once. */
const LINES_PER_SECOND = 40;
const BURST = 80;
/** Kinds that are told apart; all further ones share a budget. */
const MAX_KINDS = 64;
const OTHER_KIND = "other";
const REPORT_INTERVAL_MS = 1000;

/** Lines left out of one kind since the last report. */
export interface Omission {
  kind: string;
  count: number;
}

export class LogRateLimiter {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly omitted = new Map<string, number>();
  private reportAt = -Infinity;

  /** Whether a line of this kind may be written now. */
  take(kind: string, now: number): boolean {
    const isKnown = this.buckets.has(kind) || this.buckets.size < MAX_KINDS;
    const key = isKnown ? kind : OTHER_KIND;
    const known =
      this.buckets.get(key) ?? newTokenBucket(BURST, LINES_PER_SECOND, now);
    const { bucket, taken } = takeTokens(known, 1, now);
    this.buckets.set(key, bucket);
    if (!taken) this.omitted.set(key, (this.omitted.get(key) ?? 0) + 1);
    return taken;
  }

  /** What was left out, at most once a second. */
  report(now: number): Omission[] {
    if (this.omitted.size === 0 || now - this.reportAt < REPORT_INTERVAL_MS)
      return [];
    this.reportAt = now;
    const omissions = [...this.omitted].map(([kind, count]) => ({
      kind,
      count,
    }));
    this.omitted.clear();
    return omissions;
  }
}
