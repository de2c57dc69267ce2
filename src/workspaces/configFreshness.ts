/**
 * Proof of how new the configuration is that this process holds: the latest
 * instant at which it is known to have been the store's newest. It guards
 * against keys that were taken away behind a cut, on a store that turns this
 * process away, or while the process stood still. All instants are of this
 * process's lease clock, which goes on during a pause and a suspension.
 */
import type { FeedAnswer } from "../store/index.js";

/**
 * A watch of the store may hear nothing for so long while changes are made,
 * ms, so that an answer without changes proves only what was before. Origin:
 * the platform's page on how a store forgets its history.
 */
export const MAX_WATCH_LAG_MS = 1000;

/**
 * The instant of which an answer tells. The store looked at the earliest
 * when the call was sent; only a wait that ran out in full, without a change,
 * tells of its end too.
 */
export const provenAt = (answer: FeedAnswer): number => {
  const { sentAt, answeredAt, waitMs, hasChanges, suspendedMs = 0 } = answer;
  // By the steady clock: a suspension is no time for which the store waited.
  const hasWaited = answeredAt - sentAt >= waitMs;
  const asOf = hasChanges || !hasWaited ? sentAt : sentAt + waitMs;
  return asOf + suspendedMs;
};

export class ConfigFreshness {
  private asOf = -Infinity;

  /** The configuration that is held was the newest at that instant. */
  prove(asOf: number): void {
    this.asOf = Math.max(this.asOf, asOf);
  }

  /** Age of the proof, ms; infinite where there is none. */
  ageMs(now: number): number {
    return now - this.asOf;
  }
}

/** What one process tells another of the newest configuration. */
export interface ConfigNews {
  /** Revision of the stored object. */
  revision: number;
  /** Age of the proof that it is the newest, ms. */
  ageMs: number;
  /** The stored value; undefined where the other holds that revision. */
  value: unknown;
}
