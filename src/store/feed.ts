/** Interface to the stored objects of a kind; see `feedWatch.ts` for the loop. */
import type { Cancellation } from "../shared/cancellation.js";

/** One stored object. */
export interface FeedItem {
  name: string;
  /** Store position of its last change; see `position.ts`. */
  revision: number;
  value: unknown;
  /** Status stored next to the value; absent if none was read. */
  status?: unknown;
}

export interface FeedChange {
  item: FeedItem;
  isRemoved: boolean;
}

/** The complete list as of one store position. */
export interface FeedList {
  items: FeedItem[];
  revision: number;
}

/** Result of a request for the changes after a revision. */
export type FeedChanges =
  | { kind: "changes"; changes: FeedChange[]; revision: number }
  /** The store no longer has the history after that position. */
  | { kind: "history-gone" }
  /** The store was restored from a copy: the position is invalid. */
  | { kind: "went-back" };

/** Result of a conditional write of an object. */
export type ConditionalWriteResult =
  | { kind: "written"; item: FeedItem }
  | { kind: "conflict"; current: FeedItem | undefined }
  /** Rejected before taking effect. */
  | { kind: "refused"; why: string }
  /**
   * The store was restored from a copy after `expected` was read, and may
   * have reused that revision for another change: nothing was written.
   */
  | { kind: "went-back" }
  /** The answer was lost: the write may have taken effect, or still may. */
  | { kind: "unknown"; why: string };

/** Access to the stored objects of a kind. Rejects with `StoreError`. */
export interface ObjectFeed {
  list(kind: string): Promise<FeedList>;
  /** Long-polls for changes after `revision`, for up to `waitMs`. */
  changes(
    kind: string,
    revision: number,
    waitMs: number,
    /** Closes the connection of the call, which then rejects. */
    cancellation?: Cancellation,
  ): Promise<FeedChanges>;
  /** Writes if the object is still at `expected` (`ABSENT`: must not exist). */
  write(
    kind: string,
    name: string,
    value: unknown,
    expected: number,
  ): Promise<ConditionalWriteResult>;
  /** Writes an object's status and leaves its value unchanged. */
  writeStatus(
    kind: string,
    name: string,
    status: unknown,
    expected: number,
  ): Promise<ConditionalWriteResult>;
}
