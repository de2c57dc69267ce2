/** Options of a store watch, and the handlers that it calls. */
import type { Rng } from "../shared/rng.js";
import type { Log } from "../telemetry/index.js";
import type { FeedChange, FeedItem, ObjectFeed } from "./feed.js";
import type { HolderVouches } from "./holderVouches.js";
import type { StoreRecovery } from "./watchPauses.js";

/** Timing of a store answer and the call it belongs to; times are in ms. */
export interface FeedAnswer {
  sentAt: number;
  answeredAt: number;
  /** Long-poll duration of the call, ms; 0 for a list call. */
  waitMs: number;
  hasChanges: boolean;
  /** Whether it is a complete list, not changes; absent: it is not. */
  isList?: boolean;
  /** Total machine suspension known when the call was sent, ms. */
  suspendedMs?: number;
}

/** How far an answer's removals can be trusted, and how old they may be. */
export interface StoreStability {
  /** Whether the store was unstable recently: entries may lapse meanwhile. */
  inTrouble: boolean;
  /**
   * Instant before which a stable store has not made the changes, ms: it
   * answered, or failed a call, then.
   */
  changedAfter: number;
}

export interface FeedHandlers {
  /** Receives the complete list; also after a gap in the history. */
  onList(items: FeedItem[], stability: StoreStability): void;
  onChange(change: FeedChange, stability: StoreStability): void;
  /** Called once everything in this answer was handled. */
  onAnswer?(answer: FeedAnswer): void;
  /** Watching has stopped until the next list. */
  onIdle?(): void;
}

export interface FeedWatchOptions {
  feed: ObjectFeed;
  kind: string;
  handlers: FeedHandlers;
  log: Log;
  rng: Rng;
  now: () => number;
  /** Like `now`, but includes machine suspensions; absent: none are known. */
  leaseNow?: () => number;
  /** Long-poll duration without a vouch, ms. */
  waitMs: number;
  /** What lease holders vouch for; absent: all waits are `waitMs`. */
  vouches?: HolderVouches;
  /** Whether this process vouches as a lease holder; absent: never. */
  isVouching?: () => boolean;
  /** Whether long waits have to end, to prove the list; absent: never. */
  isProofOld?: () => boolean;
  /** Shared with the other watches of the process; absent: none. */
  recovery?: StoreRecovery;
  /** Maximum pause after changes, ms; absent: it does not grow. */
  maxChangePauseMs?: number;
  /** While false, no calls are made; then the list is read again. */
  isActive?: () => boolean;
}
