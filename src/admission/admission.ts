/**
 * Admission control of one side: decides which requests are sent to the
 * upstream, in which order, and which are refused at once. Performs no I/O.
 *
 * Requests are ordered by urgency first, then fairly among workspaces by
 * start-time fair queueing on tokens. A request that has waited for
 * `URGENT_AFTER_MS` counts as urgent, so that normal requests don't starve.
 */
import { URGENCIES } from "../config/index.js";
import type { Role, Urgency } from "../config/index.js";
import { serviceMs, waitMs } from "../routing/loadModel.js";
import type { Capacity, UpstreamWork } from "../routing/loadModel.js";

/** A request that asks for admission. */
export interface Arrival {
  id: string;
  workspace: string;
  urgency: Urgency;
  prefillTokens: number;
  outputTokens: number;
  /** Time by which the response must be complete, ms. */
  deadlineAt: number;
}

export type AdmissionDecision =
  | { kind: "admitted" }
  | { kind: "queued" }
  | { kind: "refused"; why: "overloaded" | "deadline"; retryAfterMs: number };

/** Ids of the requests that left the queue. */
export interface AdmissionUpdate {
  admitted: string[];
  /** Dropped because they can no longer meet their deadline. */
  expired: string[];
}

export interface AdmissionLimits {
  capacity: Capacity;
  /** Maximum queue length, in requests. */
  maxQueued: number;
  /** Fair-queueing weight of a workspace. */
  weightOf: (workspace: string) => number;
}

interface Waiting extends Arrival {
  queuedAt: number;
  /** Start tag of fair queueing: the virtual time at which it may start. */
  tag: number;
}

/** Maximum unread prompt tokens at the engine, as time at its prefill rate, ms. */
const MAX_PREFILL_BACKLOG_MS = 1000;
/** Weight of the latest stream in the moving average of the pace. */
const PACE_WEIGHT = 0.2;
/** Queueing time after which a request counts as urgent, ms. */
const URGENT_AFTER_MS = 2000;
/** Lower bound of the retry time in a refusal, ms. */
const MIN_RETRY_AFTER_MS = 50;
const MS = 1000;

export class Admission {
  private readonly active = new Map<string, Arrival>();
  private readonly prefilling = new Set<string>();
  private waiting: Waiting[] = [];
  private virtualTime = 0;
  private readonly finishTags = new Map<string, number>();
  private role: Role = "mixed";
  private pace = 0;

  constructor(private limits: AdmissionLimits) {}

  /** Tokens of all requests admitted or queued since the process started. */
  readonly totals = { prefillTokens: 0, outputTokens: 0 };

  setLimits(limits: AdmissionLimits): void {
    this.limits = limits;
  }

  setRole(role: Role): void {
    this.role = role;
  }

  /** Smoothed time between two output tokens, ms; 0 before the first stream. */
  get paceMs(): number {
    return this.pace;
  }

  /** Records a finished stream that produced a token every `paceMs`. */
  observePace(paceMs: number): void {
    const isFirst = this.pace === 0;
    this.pace = isFirst
      ? paceMs
      : this.pace + PACE_WEIGHT * (paceMs - this.pace);
  }

  /** Exact work of this side: requests at the upstream and in the queue. */
  get work(): UpstreamWork {
    let prefillTokens = 0;
    for (const id of this.prefilling) {
      prefillTokens += this.active.get(id)?.prefillTokens ?? 0;
    }
    for (const item of this.waiting) prefillTokens += item.prefillTokens;
    return {
      prefillTokens,
      active: this.active.size,
      queued: this.waiting.length,
    };
  }

  get inFlight(): number {
    return this.active.size;
  }

  /** Admits, queues or refuses a new request. */
  arrive(arrival: Arrival, now: number): AdmissionDecision {
    const ahead = this.workAhead(arrival);
    const { capacity } = this.limits;
    const wait = waitMs(ahead, capacity, this.role);
    const run = this.runMs(arrival, ahead);
    const lateMs = now + wait + run - arrival.deadlineAt;
    if (lateMs > 0) {
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(lateMs));
      return { kind: "refused", why: "deadline", retryAfterMs };
    }
    if (this.waiting.length === 0 && this.hasCapacity(arrival)) {
      this.addToTotals(arrival);
      this.admit(arrival);
      return { kind: "admitted" };
    }
    if (this.waiting.length >= this.limits.maxQueued) {
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(wait));
      return { kind: "refused", why: "overloaded", retryAfterMs };
    }
    this.addToTotals(arrival);
    this.enqueue(arrival, now);
    return { kind: "queued" };
  }

  /** The upstream has read the prompt, as its first output shows. */
  prefillDone(id: string): void {
    this.prefilling.delete(id);
  }

  /** Removes a request that ended or whose caller disconnected. */
  remove(id: string): void {
    this.active.delete(id);
    this.prefilling.delete(id);
    this.waiting = this.waiting.filter((item) => item.id !== id);
  }

  /** Drops queued requests that would be late and admits others while there is capacity. */
  admitWaiting(now: number): AdmissionUpdate {
    const update: AdmissionUpdate = { admitted: [], expired: [] };
    const { work } = this;
    this.waiting = this.waiting.filter((item) => {
      // Dropped as soon as it can't finish in time, not only at its deadline.
      if (now + this.runMs(item, work) <= item.deadlineAt) return true;
      update.expired.push(item.id);
      return false;
    });
    for (;;) {
      const next = this.nextWaiting(now);
      if (next === undefined || !this.hasCapacity(next)) return update;
      this.waiting = this.waiting.filter((item) => item !== next);
      this.virtualTime = Math.max(this.virtualTime, next.tag);
      this.admit(next);
      update.admitted.push(next.id);
    }
  }

  /** Empties the queue, as the upstream is going away; returns the ids to refuse. */
  refuseWaiting(): string[] {
    const ids = this.waiting.map((item) => item.id);
    this.waiting = [];
    return ids;
  }

  private addToTotals(arrival: Arrival): void {
    this.totals.prefillTokens += arrival.prefillTokens;
    this.totals.outputTokens += arrival.outputTokens;
  }

  private admit(arrival: Arrival): void {
    this.active.set(arrival.id, arrival);
    if (arrival.prefillTokens > 0) this.prefilling.add(arrival.id);
  }

  private hasCapacity(arrival: Arrival): boolean {
    const { capacity } = this.limits;
    if (this.active.size >= capacity.maxSequences) return false;
    if (this.prefilling.size === 0) return true;
    const maxTokens =
      (capacity.prefillTokensPerSecond * MAX_PREFILL_BACKLOG_MS) / MS;
    let prefillTokens = arrival.prefillTokens;
    for (const id of this.prefilling) {
      prefillTokens += this.active.get(id)?.prefillTokens ?? 0;
    }
    return prefillTokens <= maxTokens;
  }

  private runMs(arrival: Arrival, work: UpstreamWork): number {
    const { capacity } = this.limits;
    return serviceMs(arrival, work, capacity, this.role, this.pace);
  }

  /** Work that is served before the new request. */
  private workAhead(arrival: Arrival): UpstreamWork {
    const rank = URGENCIES.indexOf(arrival.urgency);
    const all = this.work;
    let laterTokens = 0;
    let laterCount = 0;
    for (const item of this.waiting) {
      if (URGENCIES.indexOf(item.urgency) <= rank) continue;
      laterTokens += item.prefillTokens;
      laterCount += 1;
    }
    return {
      prefillTokens: all.prefillTokens - laterTokens,
      active: all.active,
      queued: all.queued - laterCount,
    };
  }

  private enqueue(arrival: Arrival, now: number): void {
    const key = `${arrival.urgency}/${arrival.workspace}`;
    const last = this.finishTags.get(key) ?? 0;
    const tag = Math.max(this.virtualTime, last);
    const cost = 1 + arrival.prefillTokens + arrival.outputTokens;
    const weight = this.limits.weightOf(arrival.workspace);
    this.finishTags.set(key, tag + cost / weight);
    this.waiting.push({ ...arrival, queuedAt: now, tag });
    if (this.waiting.length === 1) this.pruneTags();
  }

  /**
   * Deletes tags at or behind the virtual time, which have no effect, to bound
   * the map.
   */
  private pruneTags(): void {
    for (const [key, tag] of this.finishTags) {
      if (tag <= this.virtualTime) this.finishTags.delete(key);
    }
  }

  private nextWaiting(now: number): Waiting | undefined {
    let best: Waiting | undefined;
    for (const item of this.waiting) {
      if (best === undefined || this.isBefore(item, best, now)) best = item;
    }
    return best;
  }

  private isBefore(left: Waiting, right: Waiting, now: number): boolean {
    const leftRank = this.rank(left, now);
    const rightRank = this.rank(right, now);
    if (leftRank !== rightRank) return leftRank < rightRank;
    return left.tag < right.tag;
  }

  private rank(item: Waiting, now: number): number {
    if (now - item.queuedAt >= URGENT_AFTER_MS) return 0;
    return URGENCIES.indexOf(item.urgency);
  }
}
