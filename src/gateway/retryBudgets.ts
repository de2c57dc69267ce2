/**
 * Limits the retries (sends beyond the first of a request) of this entry, per
 * service. The limit applies to the sum over all entries in any time window.
 * Entries do not coordinate: each applies the same ratio to its own requests
 * and its share of the fleet's burst, so that the sum holds. No budget is
 * carried over beyond a window: savings of sixty entries could otherwise be
 * spent within one window.
 *
 * The limit is on arrivals at replicas. A retry counts from before it is sent
 * until one window after its answer, as it may arrive at any time in between:
 * what is sent over several windows to replicas that stand still arrives at once.
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

/** Retries that the budget allows, taken from it before they are sent. */
export interface RetryPermit {
  /**
   * To be called once the retries were answered or given up, and in any case in
   * the end; `sent`: how many were sent at all. Only the first call counts.
   */
  settle(sent?: number): void;
}

/** Requests and retries of one service in the last window. */
interface Counts {
  requests: SlidingCount;
  /** Settled retries. */
  retries: SlidingCount;
  /** Retries that are not settled. */
  open: number;
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
   * Takes retries from the budget; undefined if fewer are left. `usable`:
   * fraction of the budget that this kind of retry may use.
   */
  acquire(service: string, sends = 1, usable = 1): RetryPermit | undefined {
    const isLeft = this.hasRetry(service, sends, usable);
    const event = isLeft ? "taken" : "refused";
    this.metrics?.count("retry_budget", { service, event });
    if (!isLeft) return undefined;
    const counts = this.countsOf(service);
    counts.open += sends;
    let isSettled = false;
    const settle = (sent = sends): void => {
      if (isSettled) return;
      isSettled = true;
      counts.open -= sends;
      counts.retries.add(sent, this.now());
    };
    return { settle };
  }

  /** Whether `acquire` would succeed now; takes nothing. */
  hasRetry(service: string, sends = 1, usable = 1): boolean {
    const { ratio, burst } = this.limits;
    const { requests, retries, open } = this.countsOf(service);
    const now = this.now();
    const burstShare = burst / Math.max(MIN_ENTRIES, this.entries() ?? 0);
    const allowed =
      requests.lowerBound(now) * ratio * USED_FRACTION + burstShare;
    return open + retries.upperBound(now) + sends <= allowed * usable;
  }

  private countsOf(service: string): Counts {
    const known = this.counts.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this.limits;
    const fresh = {
      requests: new SlidingCount(windowMs),
      retries: new SlidingCount(windowMs),
      open: 0,
    };
    this.counts.set(service, fresh);
    return fresh;
  }
}
