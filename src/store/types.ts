/** The platform's object API as the system uses it. */

/** One stored object. `version` grows with each write of it. */
export interface StoredObject<T = unknown> {
  kind: string;
  name: string;
  version: number;
  /** Unique id of the write that left this value. */
  writeId: string;
  value: T;
}

/** Expected version of an object that must not exist yet. */
export const ABSENT = 0;

/** What a conditional write came to. */
export type WriteResult<T> =
  | { kind: "written"; version: number }
  | { kind: "conflict"; current: StoredObject<T> | undefined }
  /** Refused before any effect: out of budget, rate limited, down. */
  | { kind: "refused"; why: string }
  /** The answer was lost: the write may have taken effect. */
  | { kind: "unknown"; why: string };

/** A change that a watch reports. */
export interface WatchEvent {
  kind: string;
  name: string;
  version: number;
}

export interface WatchReply {
  /** Pass it to the next watch call. */
  revision: number;
  events: WatchEvent[];
}

/** Versions, conditional updates and watches. Errors are `StoreError`. */
export interface ObjectStore {
  get<T>(kind: string, name: string): Promise<StoredObject<T> | undefined>;
  list<T>(kind: string): Promise<StoredObject<T>[]>;
  /** Writes if the object is still at `expected` (`ABSENT`: not there). */
  put<T>(
    kind: string,
    name: string,
    value: T,
    expected: number,
    writeId: string,
  ): Promise<WriteResult<T>>;
  /** Waits up to `waitMs` for changes after `revision`. */
  watch(kinds: string[], revision: number, waitMs: number): Promise<WatchReply>;
}
