/**
 * Tracks the latest time at which the configuration held by this process was
 * provably the newest in the store. Guards against accepting keys that were
 * revoked during a network partition, while the store refused this process, or
 * while the process was paused. All times are of the process's lease clock,
 * which advances during pauses and suspensions.
 */
import type { FeedAnswer } from "../store/index.js";

/**
 * Maximum time for which a watch of the store may miss changes, ms. An answer
 * without changes therefore only proves the state before that time. The
 * platform documents the bound with how a store forgets its history.
 */
export const MAX_WATCH_LAG_MS = 1000;

/** What a store's timer may leave out of a wait, ms. */
const MAX_EARLY_MS = 1;

/**
 * Returns the time for which a store answer is a proof. The store can have read
 * its state as early as when the call was sent. Only an answer without changes
 * after the full wait proves the state at the end of the wait.
 */
export const provenAt = (answer: FeedAnswer): number => {
  const { sentAt, answeredAt, waitMs, hasChanges, suspendedMs = 0 } = answer;
  // Excludes suspensions, as the store does not wait during them.
  const missingMs = Math.max(0, sentAt + waitMs - answeredAt);
  const hasWaited = missingMs < MAX_EARLY_MS;
  const endedAt = sentAt + waitMs - (missingMs > 0 ? MAX_EARLY_MS : 0);
  return (hasChanges || !hasWaited ? sentAt : endedAt) + suspendedMs;
};

export class ConfigFreshness {
  private asOf = -Infinity;

  /** Records that the held configuration was the newest at `asOf`. */
  prove(asOf: number): void {
    this.asOf = Math.max(this.asOf, asOf);
  }

  /** Age of the proof, ms; Infinity if there is none. */
  ageMs(now: number): number {
    return now - this.asOf;
  }
}

/** The newest configuration, as one process sends it to another. */
export interface ConfigNews {
  /** Revision of the stored object. */
  revision: number;
  /** Age of the proof that it is the newest, ms. */
  ageMs: number;
  /** The stored value; undefined if the receiver already holds this revision. */
  value: unknown;
}
