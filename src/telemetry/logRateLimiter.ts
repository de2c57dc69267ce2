/**
 * Limits the log lines per second of each kind, so that a burst of one outcome
 * neither fills the log nor hides the others. Omitted lines are counted. Does
 * no I/O; the time is passed in.
 */
import { newTokenBucket, takeTokens } from "../shared/tokenBucket.js";
import type { TokenBucket } from "../shared/tokenBucket.js";

/** Rate and burst limit per kind, lines. */
const LINES_PER_SECOND = 40;
const BURST = 80;
/** Maximum kinds with their own limit; all others share one. */
const MAX_KINDS = 64;
const OTHER_KIND = "other";
const REPORT_INTERVAL_MS = 1000;

/** Number of lines of one kind omitted since the last report. */
export interface Omission {
  kind: string;
  count: number;
}

/** Token bucket per kind of line. */
export class LogRateLimiter {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly omitted = new Map<string, number>();
  private reportAt = -Infinity;

  /** Returns whether a line of this kind may be written at `now`, ms. */
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

  /** Returns the omitted lines by kind, at most once a second. */
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
