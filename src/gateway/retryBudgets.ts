/**
 * How many sends beyond the first of each request this entry may make, a
 * service. The bound is one sum over all entries and any window of time.
 * Entries don't ask each other: each keeps to the same rule over its own
 * requests, and to its part of the fleet's stock, so that the sum holds.
 * Nothing is kept for longer than a window: what sixty entries had kept could
 * be spent in one.
 */
import { SlidingCount } from "../shared/slidingCount.js";

/** Part of the allowed ratio that is used; the rest covers the spread. */
const USED_FRACTION = 0.75;
/**
 * Entries among which the fleet's stock is divided at least: in a rush, further
 * sends of a whole stock at once only hold up other requests.
 */
const MIN_ENTRIES = 32;

export interface RetryLimits {
  /** Allowed sends beyond the first, a request. */
  ratio: number;
  /** Allowed beyond that over all entries in one window. */
  burst: number;
  windowMs: number;
}

/** What one service has had in the last window. */
interface Counts {
  requests: SlidingCount;
  retries: SlidingCount;
}

export class RetryBudgets {
  private readonly counts = new Map<string, Counts>();

  /** `entries`: that share the stock; undefined: nobody has counted them. */
  constructor(
    private readonly limits: RetryLimits,
    private readonly entries: () => number | undefined,
    private readonly now: () => number,
  ) {}

  /** A request came: it earns a part of a further send. */
  recordRequest(service: string): void {
    this.countsOf(service).requests.add(1, this.now());
  }

  /** Takes one further send, if there is one. */
  tryRetry(service: string): boolean {
    const { ratio, burst } = this.limits;
    const { requests, retries } = this.countsOf(service);
    const now = this.now();
    const stock = burst / Math.max(MIN_ENTRIES, this.entries() ?? 0);
    const allowed = requests.atLeast(now) * ratio * USED_FRACTION + stock;
    if (retries.atMost(now) + 1 > allowed) return false;
    retries.add(1, now);
    return true;
  }

  /** So many further sends were made without asking. */
  recordRetries(service: string, sends: number): void {
    this.countsOf(service).retries.add(sends, this.now());
  }

  private countsOf(service: string): Counts {
    const known = this.counts.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this.limits;
    const fresh = {
      requests: new SlidingCount(windowMs),
      retries: new SlidingCount(windowMs),
    };
    this.counts.set(service, fresh);
    return fresh;
  }
}
