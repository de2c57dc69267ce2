/**
 * Chooses the retry delay of requests that are refused because the entry's link
 * is full. Pure; times are ms.
 */
import { usualRetryMs } from "../scheduling/index.js";
import type { RefusalCause } from "../scheduling/index.js";

/**
 * Minimum delay while other entries are likely to have room, ms; jitter of up
 * to the same size spreads the requests that were refused together.
 */
const SHORT_RETRY_MS = 20;
/**
 * How long a refusal by the scheduler counts, ms. In a burst in which all
 * entries are loaded alike, a caller that returns at once meets another full
 * link.
 */
const OVERLOAD_MS = 1000;
/** Causes that show that the engines of all entries are overloaded. */
const OVERLOAD_CAUSES: readonly RefusalCause[] = [
  "too-late",
  "slots",
  "over-share",
];

export class LinkRetry {
  private overloadedAt = -Infinity;

  /** The scheduler refused a request of this entry. */
  recordRefusal(why: RefusalCause, now: number): void {
    if (OVERLOAD_CAUSES.includes(why)) this.overloadedAt = now;
  }

  /** Retry delay of a first attempt; `random` is in [0, 1). */
  delayMs(deadlineLeftMs: number, random: number, now: number): number {
    if (now - this.overloadedAt <= OVERLOAD_MS)
      return usualRetryMs(deadlineLeftMs);
    return SHORT_RETRY_MS * (1 + random);
  }
}
