/**
 * Prefill time of one engine relative to the service's other engines: busy time
 * over expected time of the prefills that ended in it. Pure; times are ms.
 *
 * Time is counted from the reported end of one prefill to the next within a busy
 * period, so that network hops and delays of reports cancel.
 */
import { DecayingSum } from "../shared/decayingSum.js";

/**
 * Time constant of both sums, ms. Engines are slow for up to 600 ms at a time,
 * so that an older estimate says little.
 */
const TIME_CONSTANT_MS = 1000;
/** Weight of the prior of 1, in ms of work: three to four short prefills. */
const PRIOR_MS = 60;
/** Bounds of the relative time; beyond them, delays are not the engine's. */
const MAX_RELATIVE_TIME = 4;
const MIN_RELATIVE_TIME = 1 / MAX_RELATIVE_TIME;
/**
 * A prefill granted less than this before the previous one's reported end may
 * have reached an engine that was already idle, ms: a grant takes about as long
 * to arrive.
 */
const MIN_OVERLAP_MS = 12;
/**
 * A prefill that is expected to take at least this long is also measured from
 * its grant, ms: delays of reports (up to 30 ms) are a small part of it.
 */
const LONG_PREFILL_MS = 100;
/**
 * A long prefill that took this many times as long as expected counts only once
 * the engine's next one does as well. A single one shows that a prompt part was
 * no longer cached: in the load cold-start-of-slow-readers, 22 of 24 of them
 * were single, and took the time of the whole prompt.
 */
const OUTLIER_RATIO = 2.5;
/** Ends this close to the first one of a busy period came in one batch, ms. */
const BATCH_MS = 4;

interface Measured {
  busyMs: number;
  expectedMs: number;
}

export class PrefillSpeed {
  private readonly expectedMs = new DecayingSum(TIME_CONSTANT_MS);
  private readonly busyMs = new DecayingSum(TIME_CONSTANT_MS);
  /** Last reported end in the current busy period; undefined outside of one. */
  private lastEndAt: number | undefined;
  private periodBeganAt = 0;
  /** A prefill that took far longer than expected, if it was the last one. */
  private outlier: Measured | undefined;

  /** Prefill time relative to other engines; above 1 if this one is slower. */
  relativeTime(now: number): number {
    const expected = this.expectedMs.rate(now) * TIME_CONSTANT_MS;
    const busy = this.busyMs.rate(now) * TIME_CONSTANT_MS;
    const ratio = (PRIOR_MS + busy) / (PRIOR_MS + expected);
    return Math.min(MAX_RELATIVE_TIME, Math.max(MIN_RELATIVE_TIME, ratio));
  }

  /**
   * Records the end of a prefill. `expectedMs`: its time on an average engine;
   * `isLast`: the engine has no other prefill.
   */
  recordEnd(
    prefill: { addedAt: number; expectedMs: number; isLast: boolean },
    now: number,
  ): void {
    const { addedAt, expectedMs, isLast } = prefill;
    const { lastEndAt } = this;
    const isBusy =
      lastEndAt !== undefined && addedAt + MIN_OVERLAP_MS <= lastEndAt;
    const isFirstBatch = isBusy && now - this.periodBeganAt < BATCH_MS;
    const isLong = expectedMs >= LONG_PREFILL_MS;
    if (isLong)
      this.add(now - Math.max(addedAt, lastEndAt ?? addedAt), expectedMs, now);
    else if (isBusy && !isFirstBatch)
      this.add(now - lastEndAt, expectedMs, now);
    if (!isBusy) this.periodBeganAt = now;
    this.lastEndAt = isLast ? undefined : now;
  }

  /** Ends the busy period, since the engine's time was not all spent on work. */
  endPeriod(): void {
    this.lastEndAt = undefined;
  }

  private add(busyMs: number, expectedMs: number, now: number): void {
    const isValid = busyMs >= 0 && expectedMs > 0 && expectedMs < Infinity;
    if (!isValid) return;
    const { outlier } = this;
    this.outlier = undefined;
    const measured = { busyMs, expectedMs };
    if (this.isOutlier(measured, now)) {
      if (outlier === undefined) {
        this.outlier = measured;
        return;
      }
      this.sum(outlier, now);
    }
    this.sum(measured, now);
  }

  private isOutlier({ busyMs, expectedMs }: Measured, now: number): boolean {
    const likelyMs = expectedMs * this.relativeTime(now);
    return busyMs >= LONG_PREFILL_MS && busyMs > likelyMs * OUTLIER_RATIO;
  }

  private sum({ busyMs, expectedMs }: Measured, now: number): void {
    this.busyMs.add(busyMs, now);
    this.expectedMs.add(expectedMs, now);
  }
}
