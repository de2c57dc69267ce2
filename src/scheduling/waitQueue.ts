/**
 * Requests that wait for engines. Those that can still be in time go first,
 * the one that must begin soonest ahead; behind them those that will be late,
 * the most urgent kind first. Engines get only what they can begin soon, so
 * that the order is decided here and not by who came first. A request is
 * taken in only where its turn is expected to come well before its caller
 * gives up. Pure; times are ms.
 */
import type { PlacementAsk } from "./types.js";

/**
 * Part of its time in which a late request must be expected to begin: the
 * rest covers the error of the estimate, and those that overtake.
 */
const EXPECTED_PART = 0.5;
/** A larger share of reading in time is not believed. */
const MOST_URGENT_SHARE = 0.9;
const MAX_WAITING = 1024;
/**
 * What becomes of late requests corrects the estimate: each that waited in
 * vain shortens the waits that are allowed to this part, …
 */
const VAIN_FACTOR = 0.8;
/** … each that began adds this part of the full length again. */
const BEGUN_STEP = 0.02;
const LEAST_TRUST = 0.05;

/** A request that waits. */
export interface WaitingAsk {
  ask: PlacementAsk;
  /** Expected time of its read, ms. */
  costMs: number;
  arrivedAt: number;
  /** Its answer is in time if its read begins by then. */
  inTimeUntil: number;
  /** Its caller gives up if its read begins later. */
  latestStartAt: number;
}

/** What the engines have to do at the moment. */
export interface ReadingLoad {
  engines: number;
  /** Mean time until an engine has read what it was given, ms. */
  backlogMs: number;
  /** Part of their time that reading for answers in time takes. */
  urgentShare: number;
  /** Until one more run can begin, ms: none where there is room. */
  roomMs: number;
}

const costOf = (items: readonly WaitingAsk[]): number =>
  items.reduce((sum, item) => sum + item.costMs, 0);

/** Expected wait for room to run, with so many before it, ms. */
const roomWaitMs = ({ roomMs }: ReadingLoad, before: number): number =>
  roomMs === 0 ? 0 : roomMs * (before + 1);

/** Whether `left` goes before `right` where both will be late. */
const goesBefore = (left: WaitingAsk, right: WaitingAsk): boolean => {
  const byPriority = left.ask.priority - right.ask.priority;
  if (byPriority !== 0) return byPriority < 0;
  return left.latestStartAt < right.latestStartAt;
};

const insert = (
  list: WaitingAsk[],
  item: WaitingAsk,
  isBefore: (left: WaitingAsk, right: WaitingAsk) => boolean,
): void => {
  const at = list.findIndex((other) => isBefore(item, other));
  list.splice(at < 0 ? list.length : at, 0, item);
};

export class WaitQueue {
  /** By the instant at which they must begin. */
  private readonly urgent: WaitingAsk[] = [];
  private readonly late: WaitingAsk[] = [];
  /** Part of the allowed waits that is believed at the moment. */
  private trust = 1;

  get size(): number {
    return this.urgent.length + this.late.length;
  }

  /** Whether another must begin before this one. */
  hasBefore(item: WaitingAsk): boolean {
    const first = this.urgent[0];
    return first !== undefined && first.inTimeUntil < item.inTimeUntil;
  }

  /** Whether its turn is expected to come soon enough. */
  mayWait(item: WaitingAsk, load: ReadingLoad, now: number): boolean {
    if (load.engines === 0 || this.size >= MAX_WAITING) return false;
    if (now + this.urgentWaitMs(item, load) <= item.inTimeUntil) return true;
    const allowedMs = (item.latestStartAt - now) * EXPECTED_PART * this.trust;
    return this.lateWaitMs(item, load) <= allowedMs;
  }

  /** Expected wait where it is to be in time, ms. */
  private urgentWaitMs(item: WaitingAsk, load: ReadingLoad): number {
    const ahead = this.urgent.filter(
      (other) => other.inTimeUntil <= item.inTimeUntil,
    );
    const readingMs = load.backlogMs + costOf(ahead) / load.engines;
    return Math.max(readingMs, roomWaitMs(load, ahead.length));
  }

  /** Expected wait where it will be late, ms. */
  private lateWaitMs(item: WaitingAsk, load: ReadingLoad): number {
    const ahead = this.late.filter((other) => !goesBefore(item, other));
    const aheadMs = (costOf(this.urgent) + costOf(ahead)) / load.engines;
    const share = Math.min(MOST_URGENT_SHARE, load.urgentShare);
    const readingMs = (load.backlogMs + aheadMs) / (1 - share);
    const before = this.urgent.length + ahead.length;
    return Math.max(readingMs, roomWaitMs(load, before));
  }

  add(item: WaitingAsk, now: number): void {
    if (now > item.inTimeUntil) return insert(this.late, item, goesBefore);
    insert(
      this.urgent,
      item,
      (left, right) => left.inTimeUntil < right.inTimeUntil,
    );
  }

  drop(id: string): void {
    for (const list of [this.urgent, this.late]) {
      const at = list.findIndex((item) => item.ask.id === id);
      if (at >= 0) list.splice(at, 1);
    }
  }

  /** It begins now. */
  begin(item: WaitingAsk, now: number): void {
    this.drop(item.ask.id);
    if (now <= item.inTimeUntil) return;
    this.trust = Math.min(1, this.trust + BEGUN_STEP);
  }

  /** Takes out those that nobody would wait for any longer. */
  takeHopeless(now: number): WaitingAsk[] {
    const expired = this.urgent.filter((item) => now > item.inTimeUntil);
    for (const item of expired) {
      this.drop(item.ask.id);
      insert(this.late, item, goesBefore);
    }
    const hopeless = this.late.filter((item) => now > item.latestStartAt);
    for (const { ask } of hopeless) {
      this.drop(ask.id);
      this.trust = Math.max(LEAST_TRUST, this.trust * VAIN_FACTOR);
    }
    return hopeless;
  }

  /** The first ones, in their order. */
  first(count: number): WaitingAsk[] {
    return [...this.urgent, ...this.late].slice(0, count);
  }
}
