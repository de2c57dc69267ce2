/**
 * Limits the retries (sends beyond the first of a request) of this process, per
 * service. The limit applies to the sum over all entries and all their
 * processes, in any time window. Entries do not coordinate: each applies the
 * same ratio to its own requests and its share of the fleet's burst, so that
 * the sum holds. Little is carried over beyond a window: savings of sixty
 * entries could otherwise be spent within one window.
 *
 * A process that was started again on its VM does not know what the one before
 * it has sent. In its first window it has none of the burst, and of the ratio
 * only what its own requests add.
 */
import type { RetryLimits } from "../shared/worstWindow.js";
import type { Metrics } from "../telemetry/index.js";
import { EarnedRetries } from "./earnedRetries.js";
import { RetriesInWindow } from "./retriesInWindow.js";

export type { RetryLimits };

/**
 * The fleet's burst is divided among at least this many entries: during a
 * spike, spending the whole burst at once only delays other requests.
 */
const MIN_ENTRIES = 32;
/**
 * Fraction of the allowed ratio that may be used in a window by one process;
 * the rest is safety margin.
 */
const USED_FRACTION = 0.75;

/** Retries that the budget allows, taken from it before they are sent. */
export interface RetryPermit {
  /**
   * To be called once the retries were answered or given up, and in any case in
   * the end; `sent`: how many were sent at all. Only the first call counts.
   */
  settle(sent?: number): void;
}

/** This process among those that share the limits. */
export interface BudgetOwner {
  /** Number of entries that share the burst; undefined while unknown. */
  entries: () => number | undefined;
  /** Whether no process ran on its VM before this one. */
  isFirstStart: boolean;
}

/** Budget of one service. */
interface ServiceBudget {
  earned: EarnedRetries;
  /** Those taken from the share of the burst. */
  burst: RetriesInWindow;
  /** All of them. */
  retries: RetriesInWindow;
}

export class RetryBudgets {
  private readonly services = new Map<string, ServiceBudget>();
  private readonly startedAt: number;

  constructor(
    private readonly limits: RetryLimits,
    private readonly owner: BudgetOwner,
    private readonly now: () => number,
    private readonly metrics?: Pick<Metrics, "count">,
  ) {
    this.startedAt = now();
  }

  /** Counts a new request, which adds a part of `ratio` to the budget. */
  recordRequest(service: string): void {
    this.budgetOf(service).earned.recordRequest(this.now());
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
    const { earned, burst, retries } = this.budgetOf(service);
    const now = this.now();
    const fromEarned = Math.min(sends, earned.left(now));
    const fromBurst = sends - fromEarned;
    earned.take(fromEarned, now);
    burst.take(fromBurst);
    retries.take(sends);
    let isSettled = false;
    const settle = (sent = sends): void => {
      if (isSettled) return;
      isSettled = true;
      const endedAt = this.now();
      const burstSent = Math.max(0, sent - fromEarned);
      earned.add(fromEarned - (sent - burstSent), endedAt);
      burst.settle(fromBurst, burstSent, endedAt);
      retries.settle(sends, sent, endedAt);
    };
    return { settle };
  }

  /** Whether `acquire` would succeed now; takes nothing. */
  hasRetry(service: string, sends = 1, usable = 1): boolean {
    const { earned, burst, retries } = this.budgetOf(service);
    const now = this.now();
    const { ratio } = this.limits;
    const ofRequests = earned.requestsInWindow(now) * ratio * USED_FRACTION;
    const allowed = ofRequests + this.burstShare();
    if (retries.count(now) + sends > allowed * usable) return false;
    const burstLeft = Math.max(0, this.freeBurst(now) - burst.count(now));
    return sends <= (earned.left(now) + burstLeft) * usable;
  }

  /** Part of the share that may be used in a window without being earned. */
  private freeBurst(now: number): number {
    return this.isShareFree(now) ? this.burstShare() - this.savedShare() : 0;
  }

  /** Whether no earlier process can have used the share in the last window. */
  private isShareFree(now: number): boolean {
    const isOld = now - this.startedAt >= this.limits.windowMs;
    return this.owner.isFirstStart || isOld;
  }

  private burstShare(): number {
    const entries = Math.max(MIN_ENTRIES, this.owner.entries() ?? 0);
    return this.limits.burst / entries;
  }

  /**
   * Part of the share that requests must earn again once it is used. It lets a
   * process with few requests save up a whole retry; at least one retry of the
   * share, if it has that many, comes back with each window.
   */
  private savedShare(): number {
    return Math.min(1, Math.max(0, this.burstShare() - 1));
  }

  private budgetOf(service: string): ServiceBudget {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const { ratio, windowMs } = this.limits;
    const fresh = {
      earned: new EarnedRetries({
        ratio,
        windowMs,
        minSaved: () => this.savedShare(),
        isSaved: this.isShareFree(this.now()),
      }),
      burst: new RetriesInWindow(windowMs),
      retries: new RetriesInWindow(windowMs),
    };
    this.services.set(service, fresh);
    return fresh;
  }
}
