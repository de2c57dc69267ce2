/**
 * Polling loop that lists and watches the stored objects of one kind. It
 * retries failed calls and reports whether the store was recently unstable.
 */
import csp from "js-csp";

import { Cancellation } from "../shared/cancellation.js";
import { StoreCutError } from "../shared/errors.js";
import { errText } from "../shared/utils.js";
import type { Outcome, Supervisor } from "../tasks/index.js";
import { settle } from "../tasks/index.js";
import type { FeedChanges } from "./feed.js";
import type { FeedWatchOptions, StoreStability } from "./feedWatchOptions.js";
import { lastChangeOf } from "./holderVouches.js";
import type { SeenRevision, Vouch } from "./holderVouches.js";
import { changePauseMs, retryDueAt } from "./watchPauses.js";
import type { FailedCall } from "./watchPauses.js";
import { cancelCause, nextWaitMs } from "./watchWaits.js";
import type { CancelCause, OpenCall } from "./watchWaits.js";

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
/** Interval at which a pause is checked for ending it, ms. */
const PAUSE_CHECK_MS = 100;
/** Interval at which an open call is checked for cancelling it, ms. */
const CANCEL_CHECK_MS = 100;
/** The store counts as unstable for this long after a failed call, ms. */
const INSTABILITY_MS = 3000;

/** The call before, and the pause after it. */
interface LastCall {
  wasCancelled: boolean;
  pauseMs: number;
}

/** Polling loop that delivers the list of one kind and its changes. */
export class FeedWatch {
  private revision: number | undefined;
  private failures = 0;
  private failedCall: FailedCall | undefined;
  /** When the first of the failed calls ended, ms. */
  private lostAt = 0;
  /** When the last call ended, ms. */
  private endedAt = 0;
  private isIdle = false;
  /** Pause after the last answer if it had changes, ms; otherwise 0. */
  private changePauseMs = 0;
  private lastFailureAt = -Infinity;
  /** The store's answers so far reflect its state at this instant or later, ms. */
  private stateAsOf = -Infinity;
  /** Time of the store's last answer, ms. */
  private lastAnswerAt = -Infinity;
  /** Store position of the last change of this kind. */
  private seenRevision: number | undefined;
  /**
   * Whether no list was read since calls began. The position of a later list
   * stands for removals in the gap. That of the first would make all entries
   * cancel their calls whenever a new holder reads its list.
   */
  private isFirstList = true;
  /** Why the last call was cancelled; undefined if it was not. */
  private cancelled: CancelCause | undefined;
  /** When the end of a vouch last cancelled a call, ms. */
  private vouchEndedAt = -Infinity;
  /** Whether the last call waited longer than `waitMs`. */
  private isLongWait = false;
  private isStopped: () => boolean = () => false;

  constructor(private readonly options: FeedWatchOptions) {}

  start(supervisor: Supervisor): void {
    const step = () => this.step();
    const pauseMs = () => Math.min(PAUSE_CHECK_MS, this.pauseLeftMs());
    this.isStopped = () => supervisor.isStopped;
    supervisor.start(`watch ${this.options.kind}`, function* () {
      while (!supervisor.isStopped) {
        (yield csp.take(settle(step()))) as Outcome<void>;
        while (pauseMs() > 0 && !supervisor.isStopped)
          yield supervisor.pause(pauseMs());
      }
    });
  }

  /** Makes one call: reads the list if none is known, else the changes. */
  async step(): Promise<void> {
    const { kind, log, now, isActive } = this.options;
    if (isActive?.() === false) {
      if (!this.isIdle) this.options.handlers.onIdle?.();
      this.revision = undefined;
      this.isFirstList = true;
      this.isIdle = true;
      this.endedAt = now();
      return;
    }
    this.isIdle = false;
    const before = {
      wasCancelled: this.cancelled !== undefined,
      pauseMs: this.changePauseMs,
    };
    this.cancelled = undefined;
    this.changePauseMs = 0;
    const sentAt = now();
    try {
      if (this.revision === undefined) await this.readList();
      else await this.readChanges(this.revision, before);
      if (this.cancelled !== undefined) return;
      if (this.failures > 0) this.onRegained(sentAt);
      this.failures = 0;
      this.lastAnswerAt = now();
    } catch (err) {
      this.failures += 1;
      if (this.failures === 1) this.lostAt = now();
      // A store that works may cut a call that waits, and answers the next one.
      const isLoneCut = this.failures === 1 && err instanceof StoreCutError;
      if (!isLoneCut) this.lastFailureAt = now();
      this.failedCall = {
        failures: this.failures,
        failedAt: now(),
        tookMs: now() - sentAt,
        draw: this.options.rng(),
      };
      if (this.failures === 1) {
        log.warn("store lost", { kind, why: errText(err) });
      }
    } finally {
      this.endedAt = now();
    }
  }

  /** `sentAt`: when the call that was answered began, ms. */
  private onRegained(sentAt: number): void {
    const { kind, log, recovery, now } = this.options;
    const lostMs = Math.round(now() - this.lostAt);
    const tookMs = Math.round(now() - sentAt);
    const { failures } = this;
    log.info("store regained", { kind, failures, lostMs, tookMs });
    if (recovery !== undefined) recovery.regainedAt = now();
  }

  /** Store position that has been reached; undefined: no list is known. */
  get position(): number | undefined {
    return this.revision;
  }

  /** Whether the last call has failed. */
  get isLost(): boolean {
    return this.failures > 0;
  }

  /** Whether the open call waits longer than without a vouch. */
  get waitsLong(): boolean {
    return this.isLongWait;
  }

  /**
   * The last change of this kind that this process has seen, while its own
   * calls are answered; undefined otherwise.
   */
  get seen(): SeenRevision | undefined {
    const { kind, waitMs, now } = this.options;
    const isRecent = now() - this.lastAnswerAt <= waitMs + CATCH_UP_MARGIN_MS;
    if (!isRecent || this.inTrouble || this.isIdle) return undefined;
    const { seenRevision: revision } = this;
    return revision === undefined ? undefined : { kind, revision };
  }

  private get inTrouble(): boolean {
    const { now } = this.options;
    return now() - this.lastFailureAt < INSTABILITY_MS;
  }

  private get stability(): StoreStability {
    const { inTrouble, lastFailureAt, stateAsOf } = this;
    return { inTrouble, changedAfter: Math.max(lastFailureAt, stateAsOf) };
  }

  private async readList(): Promise<void> {
    const { feed, kind, handlers, now } = this.options;
    const sentAt = now();
    const suspendedMs = this.suspendedMs();
    const list = await feed.list(kind);
    handlers.onList(list.items, this.stability);
    this.stateAsOf = sentAt;
    this.revision = list.revision;
    this.seenRevision = this.isFirstList
      ? Math.max(0, ...list.items.map((item) => item.revision))
      : list.revision;
    this.isFirstList = false;
    const answeredAt = now();
    const answer = {
      sentAt,
      answeredAt,
      waitMs: 0,
      hasChanges: true,
      isList: true,
    };
    handlers.onAnswer?.({ ...answer, suspendedMs });
  }

  private suspendedMs(): number {
    const { leaseNow, now } = this.options;
    return leaseNow === undefined ? 0 : leaseNow() - now();
  }

  private async readChanges(revision: number, before: LastCall): Promise<void> {
    const { kind, handlers, log, now } = this.options;
    const waitMs = this.nextWaitMs(revision, before.wasCancelled);
    const sentAt = now();
    const suspendedMs = this.suspendedMs();
    const reply = await this.callForChanges(revision, { sentAt, waitMs });
    if (reply === undefined) return;
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
      handlers.onChange(change, this.stability);
    }
    const hasChanges = reply.changes.length > 0;
    this.stateAsOf = hasChanges ? sentAt : sentAt + waitMs;
    this.revision = reply.revision;
    if (hasChanges) this.seenRevision = lastChangeOf(reply);
    const answeredAt = now();
    const { maxChangePauseMs: maxMs } = this.options;
    const tookMs = answeredAt - sentAt;
    const isVouched = this.vouch(reply.revision) !== undefined;
    const { pauseMs: previousMs } = before;
    this.changePauseMs = hasChanges
      ? changePauseMs({ previousMs, tookMs, isVouched, maxMs })
      : 0;
    const answer = { sentAt, answeredAt, waitMs, hasChanges, isList: false };
    handlers.onAnswer?.({ ...answer, suspendedMs });
  }

  private nextWaitMs(position: number, isAfterCancel: boolean): number {
    const { kind, waitMs: baseWaitMs, log } = this.options;
    const vouch = this.vouch(position);
    const isProbe = isAfterCancel || this.failures > 0;
    const isProofOld = this.isProofOld;
    const sinceVouchEndedMs = this.options.now() - this.vouchEndedAt;
    const isVouching = this.options.isVouching?.() ?? false;
    const input = { baseWaitMs, position, vouch, isProbe, isProofOld };
    const waitMs = nextWaitMs({ ...input, isVouching, sinceVouchEndedMs });
    const isLongWait = waitMs > baseWaitMs;
    if (isLongWait !== this.isLongWait)
      log.info("wait of the watch changed", { kind, waitMs });
    this.isLongWait = isLongWait;
    return waitMs;
  }

  private get isProofOld(): boolean {
    return this.options.isProofOld?.() ?? false;
  }

  private vouch(position: number): Vouch | undefined {
    const { kind, vouches, now } = this.options;
    return vouches?.vouchFor(kind, position, now());
  }

  /** Undefined if the call was cancelled. */
  private async callForChanges(
    position: number,
    call: OpenCall,
  ): Promise<FeedChanges | undefined> {
    const { feed, kind, waitMs: baseWaitMs, log, now } = this.options;
    const cancellation = new Cancellation();
    const check = () => {
      if (cancellation.isCancelled) return;
      const vouch = this.vouch(position);
      const input = { baseWaitMs, vouch, isProofOld: this.isProofOld };
      this.cancelled = cancelCause(input, call, now());
      if (this.isStopped()) this.cancelled = "stopped";
      if (this.cancelled !== undefined) cancellation.cancel();
    };
    const timer = setInterval(check, CANCEL_CHECK_MS);
    try {
      return await feed.changes(kind, position, call.waitMs, cancellation);
    } catch (err) {
      if (!cancellation.isCancelled) throw err;
      const { cancelled: cause } = this;
      if (cause === "vouch ended") this.vouchEndedAt = now();
      log.info("call of the watch cancelled", { kind, cause });
      return undefined;
    } finally {
      clearInterval(timer);
    }
  }

  /** Time until the next call is due, ms; none is left if it is not positive. */
  pauseLeftMs(): number {
    const { waitMs, recovery, now } = this.options;
    const sinceMs = now() - this.endedAt;
    if (this.isIdle) return IDLE_POLL_MS - sinceMs;
    const { failedCall, revision } = this;
    if (this.failures === 0 || failedCall === undefined)
      return this.changePauseMs - sinceMs;
    const vouch = revision === undefined ? undefined : this.vouch(revision);
    const isVouched = vouch !== undefined && vouch.revision <= (revision ?? 0);
    const { regainedAt = -Infinity } = recovery ?? {};
    const newsBoundMs = waitMs;
    const input = { isVouched, newsBoundMs, regainedAt };
    return retryDueAt(failedCall, input) - now();
  }
}
