/**
 * Retries that may reach replicas in the last window. A retry counts from
 * before it is sent until one window after its answer, as it may arrive at any
 * time in between: what is sent over several windows to replicas that stand
 * still arrives at once.
 */
import { SlidingCount } from "../shared/slidingCount.js";

export class RetriesInWindow {
  /** Taken and not settled. */
  private open = 0;
  private readonly settled: SlidingCount;

  constructor(windowMs: number) {
    this.settled = new SlidingCount(windowMs);
  }

  take(retries: number): void {
    this.open += retries;
  }

  /** `sent`: how many of the `taken` ones were sent at all. */
  settle(taken: number, sent: number, now: number): void {
    this.open -= taken;
    this.settled.add(sent, now);
  }

  count(now: number): number {
    return this.open + this.settled.upperBound(now);
  }
}
