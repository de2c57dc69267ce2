/**
 * Limits the retries (sends beyond the first of a request) of this entry, per
 * service. The limit applies to the sum over all entries in any time window.
 * Entries do not coordinate: each applies the same ratio to its own requests
 * and its share of the fleet's burst, so that the sum holds. No budget is
 * carried over beyond a window: savings of sixty entries could otherwise be
 * spent within one window.
 */
import { SlidingCount } from "../shared/slidingCount.js";
import type { Metrics } from "../telemetry/index.js";

/** Fraction of the allowed ratio that is used; the rest is safety margin. */
const USED_FRACTION = 0.75;
/**
 * The fleet's burst is divided among at least this many entries: during a
 * spike, spending the whole burst at once only delays other requests.
 */
const MIN_ENTRIES = 32;

export interface RetryLimits {
  /** Retries allowed per request. */
  ratio: number;
  /** Additional retries allowed per window, over all entries together. */
  burst: number;
  windowMs: number;
}

/** Requests and retries of one service in the last window. */
interface Counts {
  requests: SlidingCount;
  retries: SlidingCount;
}

export class RetryBudgets {
  private readonly counts = new Map<string, Counts>();

  /** `entries`: number that share the burst; undefined while unknown. */
  constructor(
    private readonly limits: RetryLimits,
    private readonly entries: () => number | undefined,
    private readonly now: () => number,
    private readonly metrics?: Pick<Metrics, "count">,
  ) {}

  /** Counts a new request, which adds `ratio` retries to the budget. */
  recordRequest(service: string): void {
    this.countsOf(service).requests.add(1, this.now());
  }

  /**
   * Takes one retry from the budget; false if none is left. `usable`: fraction
   * of the budget that this kind of retry may use.
   */
  tryRetry(service: string, usable = 1): boolean {
    const isTaken = this.hasRetry(service, usable);
    const event = isTaken ? "taken" : "refused";
    this.metrics?.count("retry_budget", { service, event });
    if (isTaken) this.countsOf(service).retries.add(1, this.now());
    return isTaken;
  }

  /** Whether `tryRetry` would succeed now; takes nothing. */
  hasRetry(service: string, usable = 1): boolean {
    const { ratio, burst } = this.limits;
    const { requests, retries } = this.countsOf(service);
    const now = this.now();
    const burstShare = burst / Math.max(MIN_ENTRIES, this.entries() ?? 0);
    const allowed =
      requests.lowerBound(now) * ratio * USED_FRACTION + burstShare;
    return retries.upperBound(now) + 1 <= allowed * usable;
  }

  /** Charges retries that were sent without a call to `tryRetry`. */
  recordRetries(service: string, sends: number): void {
    this.countsOf(service).retries.add(sends, this.now());
    this.metrics?.count("retry_budget", { service, event: "late" });
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
