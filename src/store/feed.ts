/**
 * Objects of one kind as a list with changes, and the loop that follows
 * them. The port is `ObjectFeed`; the loop owns retries and says how steady
 * the store has been.
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
  /** Position of its last change; see `position.ts`. */
  revision: number;
  value: unknown;
  /** What the system has written beside it; absent where nothing was read. */
  status?: unknown;
}

export interface FeedChange {
  item: FeedItem;
  isRemoved: boolean;
}

/** A whole list, as of one position of the store. */
export interface FeedList {
  items: FeedItem[];
  revision: number;
}

/** What came after a revision. */
export type FeedChanges =
  | { kind: "changes"; changes: FeedChange[]; revision: number }
  /** The store has forgotten what came after that position. */
  | { kind: "history-gone" }
  /** The store has come back from a copy: that position says nothing. */
  | { kind: "went-back" };

/** What a conditional write of an object came to. */
export type ConditionalWriteResult =
  | { kind: "written"; item: FeedItem }
  | { kind: "conflict"; current: FeedItem | undefined }
  /** Refused before any effect. */
  | { kind: "refused"; why: string }
  /**
   * The store has come back from a copy since `expected` was read, and may
   * have given that revision to another change: nothing was written.
   */
  | { kind: "went-back" }
  /** The answer was lost: it may have taken effect, or may do so later. */
  | { kind: "unknown"; why: string };

/** Errors are `StoreError`. */
export interface ObjectFeed {
  list(kind: string): Promise<FeedList>;
  /** Waits up to `waitMs` for a change. */
  changes(kind: string, revision: number, waitMs: number): Promise<FeedChanges>;
  /** Writes if the object is still at `expected` (`ABSENT`: not there). */
  write(
    kind: string,
    name: string,
    value: unknown,
    expected: number,
  ): Promise<ConditionalWriteResult>;
  /** Writes what lies beside an object's value, which stays as it is. */
  writeStatus(
    kind: string,
    name: string,
    status: unknown,
    expected: number,
  ): Promise<ConditionalWriteResult>;
}

/**
 * Part of the catch-up time that is kept for giving up a call whose
 * connection was cut without a word, and for reading the list anew, ms.
 */
const CATCH_UP_MARGIN_MS = 1500;
/** Shortest wait of one call for a change, ms. */
const MIN_WAIT_MS = 500;

/**
 * How long one call may wait for a change, ms, so that a process hears again
 * within the catch-up time after a cut has healed. Longer waits are cheaper.
 */
export const watchWaitMs = (catchUpMs: number): number =>
  Math.max(MIN_WAIT_MS, catchUpMs - CATCH_UP_MARGIN_MS);

/**
 * Pause between two looks whether it is active, ms: a standby that has become
 * the holder can place once it has read the list.
 */
const IDLE_POLL_MS = 100;
/**
 * Pause after changes before the next call, ms: what changes close together
 * comes in one answer. While 39 replicas register, each of 100 processes else
 * makes a call for each of them. Bounds on news are two seconds and more.
 */
const COALESCE_MS = 300;
const MIN_BACKOFF_MS = 80;
const MAX_BACKOFF_MS = 700;
/** The store counts as in trouble for this long after a failed call, ms. */
const INSTABILITY_MS = 3000;

/** When an answer came, and what it was for; instants are ms. */
export interface FeedAnswer {
  sentAt: number;
  answeredAt: number;
  /** How long the call was to wait for a change; 0: a list, ms. */
  waitMs: number;
  hasChanges: boolean;
  /** Suspensions of the machine that were known at the send, ms. */
  suspendedMs?: number;
}

export interface FeedHandlers {
  /** The whole list; also after a gap in the history. */
  onList(items: FeedItem[], inTrouble: boolean): void;
  onChange(change: FeedChange, inTrouble: boolean): void;
  /** All that the store says of the kind as of this answer was handled. */
  onAnswer?(answer: FeedAnswer): void;
  /** From now on nothing is followed, until the next list. */
  onIdle?(): void;
}

export interface FeedWatchOptions {
  feed: ObjectFeed;
  kind: string;
  handlers: FeedHandlers;
  log: Log;
  rng: Rng;
  now: () => number;
  /** The same and suspensions of the machine; absent: none are known. */
  leaseNow?: () => number;
  /** How long one call waits for a change, ms. */
  waitMs: number;
  /** While false, nothing is asked; afterwards the list is read anew. */
  isActive?: () => boolean;
}

export class FeedWatch {
  private revision: number | undefined;
  private failures = 0;
  private isIdle = false;
  /** The last call brought changes. */
  private hasChanged = false;
  private lastFailureAt = -Infinity;
  /** When the store last answered, ms. */
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

  /** One call: the list if there is none yet, else what has changed. */
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
      log.warn("store went back: the list is read again", { kind });
      this.revision = undefined;
      // What its copy lacks may be written again within two seconds.
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
