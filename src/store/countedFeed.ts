/** Counts the calls to the store of this process, by kind and by call. */
import type { Cancellation } from "../shared/cancellation.js";
import type { Metrics } from "../telemetry/index.js";
import type {
  ConditionalWriteResult,
  FeedChanges,
  FeedList,
  ObjectFeed,
} from "./feed.js";

type CallName = "list" | "watch" | "write" | "write-status";

export class CountedFeed implements ObjectFeed {
  constructor(
    private readonly inner: ObjectFeed,
    private readonly metrics: Metrics,
  ) {}

  list(kind: string): Promise<FeedList> {
    this.count(kind, "list");
    return this.inner.list(kind);
  }

  changes(
    kind: string,
    revision: number,
    waitMs: number,
    cancellation?: Cancellation,
  ): Promise<FeedChanges> {
    this.count(kind, "watch");
    return this.inner.changes(kind, revision, waitMs, cancellation);
  }

  write(
    kind: string,
    name: string,
    value: unknown,
    expected: number,
  ): Promise<ConditionalWriteResult> {
    this.count(kind, "write");
    return this.inner.write(kind, name, value, expected);
  }

  writeStatus(
    kind: string,
    name: string,
    status: unknown,
    expected: number,
  ): Promise<ConditionalWriteResult> {
    this.count(kind, "write-status");
    return this.inner.writeStatus(kind, name, status, expected);
  }

  private count(kind: string, call: CallName): void {
    this.metrics.count("store_calls", { kind, call });
  }
}
