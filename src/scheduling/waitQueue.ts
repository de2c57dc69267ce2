/**
 * Queue of requests that wait for engines. Requests that can still meet their
 * latency objective come first, in order of the latest start that is on time;
 * then late requests, in order of priority. Engines get only work that they can
 * start soon, so this order applies rather than the order of arrival. A request
 * is queued only if it is expected to start well before its caller gives up.
 * Pure; times are ms.
 */
import { LateOutcomes } from "./lateOutcomes.js";
import type { PlacementRequest } from "./types.js";

/**
 * Share of its remaining time within which a late request must be expected to
 * start. The rest covers estimation errors and requests that overtake it.
 */
const ALLOWED_WAIT_SHARE = 0.5;
/** Upper bound on the estimated share of on-time prefill work. */
const MAX_ON_TIME_SHARE = 0.9;
const MAX_QUEUED = 1024;

/** A request that waits for an engine. */
export interface QueuedRequest {
  request: PlacementRequest;
  /** Expected prefill time, ms. */
  costMs: number;
  /** Engine time that the request is expected to need in all, ms. */
  workMs: number;
  queuedAt: number;
  /** Latest prefill start for which the answer meets the latency objective. */
  onTimeUntil: number;
  /** Latest prefill start before the caller gives up. */
  latestStartAt: number;
}

/** Current prefill load and run capacity of the engines. */
export interface PrefillLoad {
  /** Effective number of prefill engines; rate-limited ones count in part. */
  engines: number;
  /** Mean prefill backlog of an engine, ms. */
  backlogMs: number;
  /**
   * Share of the engines' time taken by prefill for on-time requests that are
   * at least as urgent as the request.
   */
  onTimeShare: number;
  /** Expected time until one more run can start, ms; 0 if there is capacity. */
  capacityWaitMs: number;
  /** Whether requests contend for engines. */
  isContended: boolean;
}

const costOf = (items: readonly QueuedRequest[]): number =>
  items.reduce((sum, item) => sum + item.costMs, 0);

/** Expected wait for run capacity with `before` requests ahead, ms. */
const capacityDelayMs = (
  { capacityWaitMs }: PrefillLoad,
  before: number,
): number => (capacityWaitMs === 0 ? 0 : capacityWaitMs * (before + 1));

/** Whether `left` comes before `right` if both are late. */
const precedesLate = (left: QueuedRequest, right: QueuedRequest): boolean => {
  const byPriority = left.request.priority - right.request.priority;
  if (byPriority !== 0) return byPriority < 0;
  return left.latestStartAt < right.latestStartAt;
};

const insert = (
  list: QueuedRequest[],
  item: QueuedRequest,
  isBefore: (left: QueuedRequest, right: QueuedRequest) => boolean,
): void => {
  const at = list.findIndex((other) => isBefore(item, other));
  list.splice(at < 0 ? list.length : at, 0, item);
};

const NO_VERSIONS: ReadonlySet<string> = new Set();

export class WaitQueue {
  /** Requests that can be on time, ordered by `onTimeUntil`. */
  private readonly onTime: QueuedRequest[] = [];
  /** Late requests, ordered by priority and then by `latestStartAt`. */
  private readonly late: QueuedRequest[] = [];
  private readonly outcomes = new LateOutcomes();
  /** Number of requests that go on with a stream. */
  private resumed = 0;

  get size(): number {
    return this.onTime.length + this.late.length;
  }

  /** Whether a queued request has to start sooner than this one. */
  hasMoreUrgent(item: QueuedRequest): boolean {
    const first = this.onTime[0];
    return first !== undefined && first.onTimeUntil < item.onTimeUntil;
  }

  /** Whether the request is expected to start soon enough to be queued. */
  canQueue(item: QueuedRequest, load: PrefillLoad, now: number): boolean {
    if (load.engines === 0 || this.size >= MAX_QUEUED) return false;
    if (now + this.onTimeWaitMs(item, load) <= item.onTimeUntil) return true;
    const { priority } = item.request;
    const allowedMs = (item.latestStartAt - now) * ALLOWED_WAIT_SHARE;
    const confidence = this.outcomes.confidence(priority);
    if (this.lateWaitMs(item, load) > allowedMs * confidence) return false;
    // A caller that returns has no further attempt, so it gets the estimate's
    // benefit of the doubt.
    if (!load.isContended || item.request.isReturn) return true;
    const before = this.lateBefore(item).length;
    return this.outcomes.startWaitMs(priority, before, now) <= allowedMs;
  }

  /** Expected wait among the on-time requests, ms. */
  private onTimeWaitMs(item: QueuedRequest, load: PrefillLoad): number {
    const ahead = this.onTime.filter(
      (other) => other.onTimeUntil <= item.onTimeUntil,
    );
    const prefillWaitMs = load.backlogMs + costOf(ahead) / load.engines;
    return Math.max(prefillWaitMs, capacityDelayMs(load, ahead.length));
  }

  /** Expected wait among the late requests, ms. */
  private lateWaitMs(item: QueuedRequest, load: PrefillLoad): number {
    const ahead = this.lateBefore(item);
    const aheadMs = (costOf(this.onTime) + costOf(ahead)) / load.engines;
    const share = Math.min(MAX_ON_TIME_SHARE, load.onTimeShare);
    const prefillMs = (load.backlogMs + aheadMs) / (1 - share);
    const before = this.onTime.length + ahead.length;
    return Math.max(prefillMs, capacityDelayMs(load, before));
  }

  private lateBefore(item: QueuedRequest): QueuedRequest[] {
    return this.late.filter((other) => !precedesLate(item, other));
  }

  /** Records that a request starts, whether it was queued or not. */
  recordStart(item: QueuedRequest, now: number): void {
    if (now <= item.onTimeUntil) return;
    this.outcomes.recordStart(item.request.priority, now);
  }

  /** Software versions that queued requests go on with. */
  get awaitedVersions(): ReadonlySet<string> {
    if (this.resumed === 0) return NO_VERSIONS;
    const versions = this.items().flatMap(
      ({ request }) => request.runnerVersion ?? [],
    );
    return new Set(versions);
  }

  add(item: QueuedRequest, now: number): void {
    if (item.request.runnerVersion !== undefined) this.resumed += 1;
    if (now > item.onTimeUntil) return insert(this.late, item, precedesLate);
    insert(
      this.onTime,
      item,
      (left, right) => left.onTimeUntil < right.onTimeUntil,
    );
  }

  /** Returns the removed request; undefined if it is not queued. */
  remove(id: string): QueuedRequest | undefined {
    for (const list of [this.onTime, this.late]) {
      const at = list.findIndex((item) => item.request.id === id);
      const [removed] = at < 0 ? [] : list.splice(at, 1);
      if (removed === undefined) continue;
      if (removed.request.runnerVersion !== undefined) this.resumed -= 1;
      return removed;
    }
    return undefined;
  }

  /** Removes a request that starts now. */
  dequeue(item: QueuedRequest, now: number): void {
    this.remove(item.request.id);
    this.recordStart(item, now);
    if (now <= item.onTimeUntil) return;
    this.outcomes.recordWaited(item.request.priority);
  }

  /**
   * Moves on-time requests that have become late to the late list and returns
   * them.
   */
  moveOverdue(now: number): QueuedRequest[] {
    const overdue = this.onTime.filter((item) => now > item.onTimeUntil);
    for (const item of overdue) {
      this.remove(item.request.id);
      this.add(item, now);
    }
    return overdue;
  }

  /** Removes and returns requests whose latest start has passed. */
  removeExpired(now: number): QueuedRequest[] {
    this.moveOverdue(now);
    const expired = this.late.filter((item) => now > item.latestStartAt);
    for (const { request } of expired) {
      this.remove(request.id);
      this.outcomes.recordExpired(request.priority);
    }
    return expired;
  }

  /** All requests in queue order. */
  items(): QueuedRequest[] {
    return [...this.onTime, ...this.late];
  }

  /** The first requests in queue order, up to these numbers of each kind. */
  peek(counts: { split: number; whole: number }): QueuedRequest[] {
    const left = { ...counts };
    return this.items().filter(({ request }) => {
      const kind = request.isWhole ? "whole" : "split";
      left[kind] -= 1;
      return left[kind] >= 0;
    });
  }
}
