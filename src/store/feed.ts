/**
 * List-and-watch of the stored objects of one kind. `ObjectFeed` is the
 * interface to the store; `FeedWatch` is the polling loop, which retries
 * failed calls and reports whether the store was recently unstable.
 */
import csp from "js-csp";

import { errText } from "../shared/utils.js";
import type { Rng } from "../shared/rng.js";
import type { Outcome, Supervisor } from "../tasks/index.js";
import { settle } from "../tasks/index.js";
import type { Log } from "../telemetry/index.js";

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
  changes(kind: string, revision: number, waitMs: number): Promise<FeedChanges>;
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

/**
 * Part of the catch-up time reserved for timing out a call whose connection
 * was cut silently, and for reading the list again, ms.
 */
const CATCH_UP_MARGIN_MS = 1500;
/** Minimum long-poll duration, ms. */
const MIN_WAIT_MS = 500;

/**
 * Long-poll duration, ms, chosen so that a process receives changes again
 * within the catch-up time after a network partition ends. Longer waits need
 * fewer calls.
 */
export const watchWaitMs = (catchUpMs: number): number =>
  Math.max(MIN_WAIT_MS, catchUpMs - CATCH_UP_MARGIN_MS);

/**
 * Interval at which `isActive` is polled while idle, ms. Short because a
 * standby that becomes the lease holder can place only after it has read the
 * list.
 */
const IDLE_POLL_MS = 100;
/**
 * Pause after changes before the next call, ms, so that changes close together
 * arrive in one answer. Without it, while 39 replicas register, each of 100
 * processes makes one call per replica. The limits on propagation delay are
 * two seconds or more.
 */
const COALESCE_MS = 300;
const MIN_BACKOFF_MS = 80;
const MAX_BACKOFF_MS = 700;
/** The store counts as unstable for this long after a failed call, ms. */
const INSTABILITY_MS = 3000;

/** Timing of a store answer and the call it belongs to; times are in ms. */
export interface FeedAnswer {
  sentAt: number;
  answeredAt: number;
  /** Long-poll duration of the call, ms; 0 for a list call. */
  waitMs: number;
  hasChanges: boolean;
  /** Total machine suspension known when the call was sent, ms. */
  suspendedMs?: number;
}

export interface FeedHandlers {
  /** Receives the complete list; also after a gap in the history. */
  onList(items: FeedItem[], inTrouble: boolean): void;
  onChange(change: FeedChange, inTrouble: boolean): void;
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
  /** Long-poll duration, ms. */
  waitMs: number;
  /** While false, no calls are made; then the list is read again. */
  isActive?: () => boolean;
}

/** Polling loop that delivers the list of one kind and its changes. */
export class FeedWatch {
  private revision: number | undefined;
  private failures = 0;
  private isIdle = false;
  /** Whether the last call returned changes. */
  private hasChanged = false;
  private lastFailureAt = -Infinity;
  /** Time of the store's last answer, ms. */
  lastAnswerAt = -Infinity;

  constructor(private readonly options: FeedWatchOptions) {}

  start(supervisor: Supervisor): void {
    const step = () => this.step();
    const pauseMs = () => this.pauseMs();
    supervisor.start(`watch ${this.options.kind}`, function* () {
      while (!supervisor.isStopped) {
        (yield csp.take(settle(step()))) as Outcome<void>;
        if (pauseMs() > 0) yield supervisor.pause(pauseMs());
      }
    });
  }

  /** Makes one call: reads the list if none is known, else the changes. */
  async step(): Promise<void> {
    const { kind, log, now, isActive } = this.options;
    if (isActive?.() === false) {
      if (!this.isIdle) this.options.handlers.onIdle?.();
      this.revision = undefined;
      this.isIdle = true;
      return;
    }
    this.isIdle = false;
    this.hasChanged = false;
    try {
      if (this.revision === undefined) await this.readList();
      else await this.readChanges(this.revision);
      if (this.failures > 0) log.info("store regained", { kind });
      this.failures = 0;
      this.lastAnswerAt = now();
    } catch (err) {
      this.failures += 1;
      this.lastFailureAt = now();
      if (this.failures === 1) {
        log.warn("store lost", { kind, why: errText(err) });
      }
    }
  }

  private get inTrouble(): boolean {
    const { now } = this.options;
    return now() - this.lastFailureAt < INSTABILITY_MS;
  }

  private async readList(): Promise<void> {
    const { feed, kind, handlers, now } = this.options;
    const sentAt = now();
    const suspendedMs = this.suspendedMs();
    const list = await feed.list(kind);
    handlers.onList(list.items, this.inTrouble);
    this.revision = list.revision;
    const answeredAt = now();
    const answer = { sentAt, answeredAt, waitMs: 0, hasChanges: true };
    handlers.onAnswer?.({ ...answer, suspendedMs });
  }

  private suspendedMs(): number {
    const { leaseNow, now } = this.options;
    return leaseNow === undefined ? 0 : leaseNow() - now();
  }

  private async readChanges(revision: number): Promise<void> {
    const { feed, kind, handlers, log, waitMs, now } = this.options;
    const sentAt = now();
    const suspendedMs = this.suspendedMs();
    const reply = await feed.changes(kind, revision, waitMs);
    if (reply.kind === "history-gone") {
      log.warn("history gone: the list is read again", { kind, revision });
      this.revision = undefined;
      return;
    }
    if (reply.kind === "went-back") {
      log.warn("store restored from a copy: the list is read again", { kind });
      this.revision = undefined;
      // Entries missing from the copy may be written again within two seconds.
      this.lastFailureAt = now();
      return;
    }
    for (const change of reply.changes) {
      handlers.onChange(change, this.inTrouble);
    }
    const hasChanges = reply.changes.length > 0;
    this.hasChanged = hasChanges;
    this.revision = reply.revision;
    const answeredAt = now();
    const answer = { sentAt, answeredAt, waitMs, hasChanges };
    handlers.onAnswer?.({ ...answer, suspendedMs });
  }

  private pauseMs(): number {
    if (this.isIdle) return IDLE_POLL_MS;
    if (this.failures === 0) return this.hasChanged ? COALESCE_MS : 0;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** (this.failures - 1),
    );
    return backoffMs * (0.5 + this.options.rng() / 2);
  }
}
