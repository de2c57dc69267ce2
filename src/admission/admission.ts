/**
 * Admission at one side: what is handed to the upstream, in which order, and
 * what is refused at once. Pure: events in, decisions out.
 *
 * Order: by class of urgency first, then fair among workspaces (start-time
 * fair queueing on tokens). A request that has waited `AGE_MS` counts as
 * urgent, so that ordinary work is not starved.
 */
import { URGENCIES } from "../config/index.js";
import type { Role, Urgency } from "../config/index.js";
import { serviceMs, waitMs } from "../routing/loadModel.js";
import type { Capacity, UpstreamWork } from "../routing/loadModel.js";

/** A request that asks to be let in. */
export interface Arrival {
  id: string;
  workspace: string;
  urgency: Urgency;
  prefillTokens: number;
  outputTokens: number;
  /** Instant by which the answer must be whole, ms. */
  deadlineAt: number;
}

export type AdmissionDecision =
  | { kind: "admitted" }
  | { kind: "queued" }
  | { kind: "refused"; why: "overloaded" | "deadline"; retryAfterMs: number };

/** What to do with requests that waited. */
export interface AdmissionUpdate {
  admitted: string[];
  /** Given up on: their deadline can't be met any more. */
  expired: string[];
}

export interface AdmissionLimits {
  capacity: Capacity;
  /** Requests that may wait. */
  maxQueued: number;
  /** Weight of a workspace against the others. */
  weightOf: (workspace: string) => number;
}

interface Waiting extends Arrival {
  queuedAt: number;
  /** Start tag of fair queueing among workspaces. */
  tag: number;
}

/** Prompt tokens handed over at once, as time at the engine's rate, ms. */
const PREFILL_AHEAD_MS = 1000;
/** Weight of the newest stream in the smoothed pace. */
const PACE_WEIGHT = 0.2;
const AGE_MS = 2000;
const LEAST_RETRY_MS = 50;
const MS = 1000;

export class Admission {
  private readonly active = new Map<string, Arrival>();
  private readonly reading = new Set<string>();
  private waiting: Waiting[] = [];
  private virtualTime = 0;
  private readonly finishTags = new Map<string, number>();
  private role: Role = "mixed";
  private pace = 0;

  constructor(private limits: AdmissionLimits) {}

  /** Tokens of all requests that were let in or queued since the start. */
  readonly totals = { prefillTokens: 0, outputTokens: 0 };

  setLimits(limits: AdmissionLimits): void {
    this.limits = limits;
  }

  setRole(role: Role): void {
    this.role = role;
  }

  /** Time between two tokens lately, ms; 0 before the first stream. */
  get paceMs(): number {
    return this.pace;
  }

  /** A stream ended that gave a token each `paceMs`. */
  observePace(paceMs: number): void {
    const isFirst = this.pace === 0;
    this.pace = isFirst
      ? paceMs
      : this.pace + PACE_WEIGHT * (paceMs - this.pace);
  }

  /** Exact work of the upstream as handed over by this side. */
  get work(): UpstreamWork {
    let prefillTokens = 0;
    for (const id of this.reading) {
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

  arrive(arrival: Arrival, now: number): AdmissionDecision {
    const ahead = this.workAhead(arrival);
    const { capacity } = this.limits;
    const wait = waitMs(ahead, capacity, this.role);
    const run = this.runMs(arrival, ahead);
    const late = now + wait + run - arrival.deadlineAt;
    if (late > 0) {
      const retryAfterMs = Math.max(LEAST_RETRY_MS, Math.ceil(late));
      return { kind: "refused", why: "deadline", retryAfterMs };
    }
    if (this.waiting.length === 0 && this.hasRoom(arrival)) {
      this.count(arrival);
      this.admit(arrival);
      return { kind: "admitted" };
    }
    if (this.waiting.length >= this.limits.maxQueued) {
      const retryAfterMs = Math.max(LEAST_RETRY_MS, Math.ceil(wait));
      return { kind: "refused", why: "overloaded", retryAfterMs };
    }
    this.count(arrival);
    this.enqueue(arrival, now);
    return { kind: "queued" };
  }

  /** The upstream has read the prompt: its first output came. */
  prefillDone(id: string): void {
    this.reading.delete(id);
  }

  /** A request ended, or its caller went away. */
  remove(id: string): void {
    this.active.delete(id);
    this.reading.delete(id);
    this.waiting = this.waiting.filter((item) => item.id !== id);
  }

  /** Lets waiting requests in where there is room. */
  admitWaiting(now: number): AdmissionUpdate {
    const released: AdmissionUpdate = { admitted: [], expired: [] };
    const { work } = this;
    this.waiting = this.waiting.filter((item) => {
      // Given up as soon as it can't be done in time, not when time is over.
      if (now + this.runMs(item, work) <= item.deadlineAt) return true;
      released.expired.push(item.id);
      return false;
    });
    for (;;) {
      const next = this.nextWaiting(now);
      if (next === undefined || !this.hasRoom(next)) return released;
      this.waiting = this.waiting.filter((item) => item !== next);
      this.virtualTime = Math.max(this.virtualTime, next.tag);
      this.admit(next);
      released.admitted.push(next.id);
    }
  }

  /** Refuses all that wait: the upstream goes away. */
  refuseWaiting(): string[] {
    const ids = this.waiting.map((item) => item.id);
    this.waiting = [];
    return ids;
  }

  private count(arrival: Arrival): void {
    this.totals.prefillTokens += arrival.prefillTokens;
    this.totals.outputTokens += arrival.outputTokens;
  }

  private admit(arrival: Arrival): void {
    this.active.set(arrival.id, arrival);
    if (arrival.prefillTokens > 0) this.reading.add(arrival.id);
  }

  private hasRoom(arrival: Arrival): boolean {
    const { capacity } = this.limits;
    if (this.active.size >= capacity.maxSequences) return false;
    if (this.reading.size === 0) return true;
    const ahead = (capacity.prefillTokensPerSecond * PREFILL_AHEAD_MS) / MS;
    let reading = arrival.prefillTokens;
    for (const id of this.reading) {
      reading += this.active.get(id)?.prefillTokens ?? 0;
    }
    return reading <= ahead;
  }

  private runMs(arrival: Arrival, work: UpstreamWork): number {
    const { capacity } = this.limits;
    return serviceMs(arrival, work, capacity, this.role, this.pace);
  }

  /** Work that is served before the arrival. */
  private workAhead(arrival: Arrival): UpstreamWork {
    const rank = URGENCIES.indexOf(arrival.urgency);
    const all = this.work;
    let behind = 0;
    let behindCount = 0;
    for (const item of this.waiting) {
      if (URGENCIES.indexOf(item.urgency) <= rank) continue;
      behind += item.prefillTokens;
      behindCount += 1;
    }
    return {
      prefillTokens: all.prefillTokens - behind,
      active: all.active,
      queued: all.queued - behindCount,
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
    if (this.waiting.length === 1) this.forgetOldTags();
  }

  /** Tags behind the virtual time mean nothing: keeps the map bounded. */
  private forgetOldTags(): void {
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
    if (now - item.queuedAt >= AGE_MS) return 0;
    return URGENCIES.indexOf(item.urgency);
  }
}
