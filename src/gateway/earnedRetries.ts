/**
 * Retries of one service that its requests add to the budget of this process.
 * What a process has saved ends with it, and the next one on its VM begins with
 * nothing. So all processes on a VM together send, in any window, at most what
 * was saved at its start plus what the requests of the window add.
 */
import { SlidingCount } from "../shared/slidingCount.js";

/** Fraction of the allowed ratio that each request adds. */
const EARNED_FRACTION = 0.7;
/**
 * Fraction of it, for the requests of one window, that can be saved. The rest
 * of the ratio covers retries that reach their replicas late.
 */
const SAVED_FRACTION = 0.25;

export interface EarnedRetriesOptions {
  /** Retries allowed per request. */
  ratio: number;
  windowMs: number;
  /** How many can be saved however few requests there are. */
  minSaved: () => number;
  /** Whether these are saved from the start. */
  isSaved: boolean;
}

export class EarnedRetries {
  private readonly requests: SlidingCount;
  private saved: number;

  constructor(private readonly options: EarnedRetriesOptions) {
    this.requests = new SlidingCount(options.windowMs);
    this.saved = options.isSaved ? options.minSaved() : 0;
  }

  recordRequest(now: number): void {
    this.requests.add(1, now);
    this.add(this.options.ratio * EARNED_FRACTION, now);
  }

  /** Retries that are saved, with fractions. */
  left(now: number): number {
    return Math.min(this.saved, this.maxSaved(now));
  }

  take(retries: number, now: number): void {
    this.saved = this.left(now) - retries;
  }

  add(retries: number, now: number): void {
    this.saved = Math.min(this.saved + retries, this.maxSaved(now));
  }

  requestsInWindow(now: number): number {
    return this.requests.lowerBound(now);
  }

  private maxSaved(now: number): number {
    const { ratio, minSaved } = this.options;
    const perRequest = ratio * SAVED_FRACTION;
    return this.requestsInWindow(now) * perRequest + minSaved();
  }
}
