/**
 * Learns from late requests, which are those that can no longer meet their
 * latency objective, how far estimates of their wait can be relied on. Kept by
 * priority, since late requests start in that order. Pure; times are ms.
 */
import { DecayingSum } from "../shared/decayingSum.js";
import { PriorityMap } from "./priorityMap.js";

/** Each late request that expires in the queue multiplies the confidence. */
const EXPIRED_FACTOR = 0.8;
/** Each late request that starts restores this share of full confidence. */
const STARTED_STEP = 0.02;
const MIN_CONFIDENCE = 0.05;
/**
 * Time constant of the rate of late starts, ms: callers wait for about a
 * second, and a burst changes the rate within that time.
 */
const RATE_TIME_CONSTANT_MS = 1000;

class PriorityOutcomes {
  confidence = 1;
  readonly starts = new DecayingSum(RATE_TIME_CONSTANT_MS);
}

export class LateOutcomes {
  private readonly outcomes = new PriorityMap(() => new PriorityOutcomes());

  /** Factor on the waits that are allowed at this priority, up to 1. */
  confidence(priority: number): number {
    return this.outcomes.get(priority).confidence;
  }

  /** A late request started, whether it had been queued or not. */
  recordStart(priority: number, now: number): void {
    this.outcomes.get(priority).starts.add(1, now);
  }

  /** A late request started after a wait in the queue. */
  recordWaited(priority: number): void {
    const own = this.outcomes.get(priority);
    own.confidence = Math.min(1, own.confidence + STARTED_STEP);
  }

  recordExpired(priority: number): void {
    const own = this.outcomes.get(priority);
    own.confidence = Math.max(MIN_CONFIDENCE, own.confidence * EXPIRED_FACTOR);
  }

  /**
   * Expected wait with `before` late requests ahead, ms, by the rate at which
   * late requests start that are at most as urgent: more urgent ones would
   * start first in any case.
   */
  startWaitMs(priority: number, before: number, now: number): number {
    const rate = this.outcomes
      .from(priority)
      .reduce((sum, { starts }) => sum + starts.rate(now), 0);
    return (before + 1) / rate;
  }
}
