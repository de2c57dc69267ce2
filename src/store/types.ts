/** Interface to the platform's object API. */

/** One stored object. `version` increases with each write. */
export interface StoredObject<T = unknown> {
  kind: string;
  name: string;
  version: number;
  /** Unique id of the write that stored this value. */
  writeId: string;
  value: T;
}

/** Expected version of an object that must not exist yet. */
export const ABSENT = 0;

/** Result of a conditional write. */
export type WriteResult<T> =
  | { kind: "written"; version: number }
  | { kind: "conflict"; current: StoredObject<T> | undefined }
  /** Rejected before taking effect: over budget, rate limited, down. */
  | { kind: "refused"; why: string }
  /** The answer was lost: the write may have taken effect. */
  | { kind: "unknown"; why: string };

/** A change reported by a watch. */
export interface WatchEvent {
  kind: string;
  name: string;
  version: number;
}

export interface WatchReply {
  /** To be passed to the next watch call. */
  revision: number;
  events: WatchEvent[];
}

/**
 * Versioned objects with conditional writes and watches. `put` reports
 * failures in its result; the others reject with `StoreError`.
 */
export interface ObjectStore {
  get<T>(kind: string, name: string): Promise<StoredObject<T> | undefined>;
  list<T>(kind: string): Promise<StoredObject<T>[]>;
  /** Writes if the object is still at `expected` (`ABSENT`: must not exist). */
  put<T>(
    kind: string,
    name: string,
    value: T,
    expected: number,
    writeId: string,
  ): Promise<WriteResult<T>>;
  /** Long-polls for changes after `revision`, for up to `waitMs`. */
  watch(kinds: string[], revision: number, waitMs: number): Promise<WatchReply>;
}
