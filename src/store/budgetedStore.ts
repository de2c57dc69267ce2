/**
 * Object store wrapper that enforces this process's call rate limit. Calls
 * over the limit are rejected locally, so that retries during an outage can't
 * exceed it.
 */
import { newTokenBucket, takeTokens } from "../shared/tokenBucket.js";
import type { TokenBucket } from "../shared/tokenBucket.js";
import { StoreError } from "../shared/errors.js";
import type {
  ObjectStore,
  StoredObject,
  WatchReply,
  WriteResult,
} from "./types.js";

/** Burst capacity, in seconds of the configured call rate. */
const BURST_SECONDS = 2;
const OVER_BUDGET = "over this process's call budget";

export class BudgetedStore implements ObjectStore {
  private bucket: TokenBucket;
  /** Calls passed to the store since start. */
  calls = 0;

  constructor(
    private readonly inner: ObjectStore,
    callsPerSecond: number,
    private readonly now: () => number,
  ) {
    const capacity = callsPerSecond * BURST_SECONDS;
    this.bucket = newTokenBucket(capacity, callsPerSecond, now());
  }

  get<T>(kind: string, name: string): Promise<StoredObject<T> | undefined> {
    this.takeOrThrow();
    return this.inner.get<T>(kind, name);
  }

  list<T>(kind: string): Promise<StoredObject<T>[]> {
    this.takeOrThrow();
    return this.inner.list<T>(kind);
  }

  async put<T>(
    kind: string,
    name: string,
    value: T,
    expected: number,
    writeId: string,
  ): Promise<WriteResult<T>> {
    if (!this.tryTake()) return { kind: "refused", why: OVER_BUDGET };
    return this.inner.put(kind, name, value, expected, writeId);
  }

  watch(
    kinds: string[],
    revision: number,
    waitMs: number,
  ): Promise<WatchReply> {
    this.takeOrThrow();
    return this.inner.watch(kinds, revision, waitMs);
  }

  private tryTake(): boolean {
    const { bucket, taken } = takeTokens(this.bucket, 1, this.now());
    this.bucket = bucket;
    if (taken) this.calls += 1;
    return taken;
  }

  private takeOrThrow(): void {
    if (!this.tryTake()) throw new StoreError(OVER_BUDGET);
  }
}
