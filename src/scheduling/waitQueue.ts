/**
 * Requests that wait for engines. Those that can still be in time go first,
 * the one that must begin soonest ahead; behind them those that will be late,
 * the most urgent kind first. Engines get only what they can begin soon, so
 * that the order is decided here and not by who came first. A request is
 * taken in only where its turn is expected to come well before its caller
 * gives up. Pure; times are ms.
 */
import type { PlacementRequest } from "./types.js";

/**
 * Part of its time in which a late request must be expected to begin: the
 * rest covers the error of the estimate, and those that overtake.
 */
const ALLOWED_WAIT_SHARE = 0.5;
/** A larger share of reading in time is not believed. */
const MAX_ON_TIME_SHARE = 0.9;
const MAX_QUEUED = 1024;
/**
 * What becomes of late requests corrects the estimate: each that waited in
 * vain shortens the waits that are allowed to this part, …
 */
const EXPIRED_FACTOR = 0.8;
/** … each that began adds this part of the full length again. */
const STARTED_STEP = 0.02;
const MIN_CONFIDENCE = 0.05;

/** A request that waits. */
export interface QueuedRequest {
  request: PlacementRequest;
  /** Expected time of its read, ms. */
  costMs: number;
  queuedAt: number;
  /** Its answer is in time if its read begins by then. */
  onTimeUntil: number;
  /** Its caller gives up if its read begins later. */
  latestStartAt: number;
}

/** What the engines have to do at the moment. */
export interface PrefillLoad {
  engines: number;
  /** Mean time until an engine has read what it was given, ms. */
  backlogMs: number;
  /** Part of their time that reading for answers in time takes. */
  onTimeShare: number;
  /** Until one more run can begin, ms: none where there is room. */
  capacityWaitMs: number;
}

const costOf = (items: readonly QueuedRequest[]): number =>
  items.reduce((sum, item) => sum + item.costMs, 0);

/** Expected wait for room to run, with so many before it, ms. */
const capacityDelayMs = (
  { capacityWaitMs }: PrefillLoad,
  before: number,
): number => (capacityWaitMs === 0 ? 0 : capacityWaitMs * (before + 1));

/** Whether `left` goes before `right` where both will be late. */
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

export class WaitQueue {
  /** By the instant at which they must begin. */
  private readonly onTime: QueuedRequest[] = [];
  private readonly late: QueuedRequest[] = [];
  /** Part of the allowed waits that is believed at the moment. */
  private confidence = 1;

  get size(): number {
    return this.onTime.length + this.late.length;
  }

  /** Whether another must begin before this one. */
  hasMoreUrgent(item: QueuedRequest): boolean {
    const first = this.onTime[0];
    return first !== undefined && first.onTimeUntil < item.onTimeUntil;
  }

  /** Whether its turn is expected to come soon enough. */
  canQueue(item: QueuedRequest, load: PrefillLoad, now: number): boolean {
    if (load.engines === 0 || this.size >= MAX_QUEUED) return false;
    if (now + this.onTimeWaitMs(item, load) <= item.onTimeUntil) return true;
    const allowedMs =
      (item.latestStartAt - now) * ALLOWED_WAIT_SHARE * this.confidence;
    return this.lateWaitMs(item, load) <= allowedMs;
  }

  /** Expected wait where it is to be in time, ms. */
  private onTimeWaitMs(item: QueuedRequest, load: PrefillLoad): number {
    const ahead = this.onTime.filter(
      (other) => other.onTimeUntil <= item.onTimeUntil,
    );
    const readingMs = load.backlogMs + costOf(ahead) / load.engines;
    return Math.max(readingMs, capacityDelayMs(load, ahead.length));
  }

  /** Expected wait where it will be late, ms. */
  private lateWaitMs(item: QueuedRequest, load: PrefillLoad): number {
    const ahead = this.late.filter((other) => !precedesLate(item, other));
    const aheadMs = (costOf(this.onTime) + costOf(ahead)) / load.engines;
    const share = Math.min(MAX_ON_TIME_SHARE, load.onTimeShare);
    const readingMs = (load.backlogMs + aheadMs) / (1 - share);
    const before = this.onTime.length + ahead.length;
    return Math.max(readingMs, capacityDelayMs(load, before));
  }

  add(item: QueuedRequest, now: number): void {
    if (now > item.onTimeUntil) return insert(this.late, item, precedesLate);
    insert(
      this.onTime,
      item,
      (left, right) => left.onTimeUntil < right.onTimeUntil,
    );
  }

  remove(id: string): void {
    for (const list of [this.onTime, this.late]) {
      const at = list.findIndex((item) => item.request.id === id);
      if (at >= 0) list.splice(at, 1);
    }
  }

  /** It begins now. */
  dequeue(item: QueuedRequest, now: number): void {
    this.remove(item.request.id);
    if (now <= item.onTimeUntil) return;
    this.confidence = Math.min(1, this.confidence + STARTED_STEP);
  }

  /** Takes out those that nobody would wait for any longer. */
  removeExpired(now: number): QueuedRequest[] {
    const overdue = this.onTime.filter((item) => now > item.onTimeUntil);
    for (const item of overdue) {
      this.remove(item.request.id);
      insert(this.late, item, precedesLate);
    }
    const expired = this.late.filter((item) => now > item.latestStartAt);
    for (const { request } of expired) {
      this.remove(request.id);
      this.confidence = Math.max(
        MIN_CONFIDENCE,
        this.confidence * EXPIRED_FACTOR,
      );
    }
    return expired;
  }

  /** The first ones, in their order. */
  peek(count: number): QueuedRequest[] {
    return [...this.onTime, ...this.late].slice(0, count);
  }
}
