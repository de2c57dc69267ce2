/**
 * Decides what an entry may send on its link, from the bytes that it sends and
 * the rate of the link. Pure; times are ms.
 */
import { DecayingSum } from "../shared/decayingSum.js";

/** Share of the link's rate that is planned; the rest is for packet headers. */
const PLANNED_SHARE = 0.9;
/**
 * Time until the body of a first attempt must have left, ms. Another entry is
 * likely to have room, and messages to the lease holder wait for the same link:
 * an entry takes their answers as lost after 90 ms, hops included.
 */
const MAX_FIRST_WAIT_MS = 30;
/**
 * The same for callers that return, ms. They have been refused once, and a
 * longer queue would make the placement of all requests late.
 */
const MAX_RETURN_WAIT_MS = 40;
/**
 * A body that takes longer than the wait allowed is taken at a queue of this
 * share of it: no other entry with such a link could take it sooner.
 */
const NEARLY_EMPTY_SHARE = 0.25;
/** Share of the objective that a request may wait for the link. */
const MAX_OBJECTIVE_SHARE = 0.5;
/** Share of the objective beyond which a body is not sent a second time. */
const SECOND_SEND_SHARE = 0.25;
/** Use of the link beyond which bodies are sent only once. */
const MAX_SHARED_USE = 0.6;
/** Time constant of the use of the link, ms. */
const USE_TIME_CONSTANT_MS = 1000;
/**
 * Bodies up to this size are taken while they can meet their deadline, bytes.
 * They add little to the queue, and a refusal costs about as many bytes.
 */
const SHORT_BODY_BYTES = 1500;
/** Estimated size of the head of a request to a replica, bytes. */
export const HEAD_BYTES = 700;
/** Estimated size of the head of an answer to a caller, bytes. */
export const ANSWER_HEAD_BYTES = 350;
/** Timeouts in a row after which the link is taken to be slower. */
const TIMEOUTS_TO_SLOW = 3;
/** Addresses among them; one alone may be a VM that has failed. */
const ADDRESSES_TO_SLOW = 2;
/** How long it is then taken to have half its rate, ms. */
const SLOWED_MS = 2000;

/** A request that needs the link; times left are from now. */
export interface LinkRequest {
  bodyBytes: number;
  objectiveLeftMs: number;
  deadlineLeftMs: number;
  /** The caller sent the request again after a refusal. */
  isReturn: boolean;
}

/** A queue of bytes, in the time that they take to leave. */
class DrainingQueue {
  private leftMs = 0;
  private at = 0;

  ms(now: number): number {
    return Math.max(0, this.leftMs - (now - this.at));
  }

  add(ms: number, now: number): void {
    this.leftMs = Math.max(0, this.ms(now) + ms);
    this.at = now;
  }
}

export class LinkBudget {
  /** Bytes that were sent. */
  private readonly sent = new DrainingQueue();
  /** Also the bodies of requests that were taken and wait for an engine. */
  private readonly planned = new DrainingQueue();
  /** Link time of the bytes sent recently. */
  private readonly use = new DecayingSum(USE_TIME_CONSTANT_MS);
  private timeouts = 0;
  private readonly timedOut = new Set<string>();
  private slowedUntil = 0;

  /** `bytesPerMs`: rate of the link; infinite if it has no bound. */
  constructor(private readonly bytesPerMs: number) {}

  /** Counts bytes that are sent now. */
  record(bytes: number, now: number): void {
    const ms = this.sendMs(bytes, now);
    this.sent.add(ms, now);
    this.planned.add(ms, now);
    this.use.add(ms, now);
  }

  /**
   * Counts bytes of a request that was taken and is to be sent soon. Returns
   * their link time for `cancelPlan`.
   */
  plan(bytes: number, now: number): number {
    const ms = this.sendMs(bytes, now);
    this.planned.add(ms, now);
    return ms;
  }

  /**
   * Reverts `plan`: the bytes are sent now, or never. Takes the time planned,
   * since the assumed rate may have changed.
   */
  cancelPlan(plannedMs: number, now: number): void {
    this.planned.add(-plannedMs, now);
  }

  /** Expected time until a byte that is sent now has left. */
  queueMs(now: number): number {
    return this.sent.ms(now);
  }

  /** Whether a second send of the body would use too much of the link. */
  mustSendOnce(
    bodyBytes: number,
    objectiveLeftMs: number,
    now: number,
  ): boolean {
    if (bodyBytes <= SHORT_BODY_BYTES) return false;
    if (this.use.rate(now) > MAX_SHARED_USE) return true;
    const twiceMs = 2 * this.sendMs(bodyBytes + HEAD_BYTES, now);
    const limitMs = Math.max(0, objectiveLeftMs) * SECOND_SEND_SHARE;
    return twiceMs > 0 && this.queueMs(now) + twiceMs > limitMs;
  }

  /** Whether the link has room for the request; if not, it is refused. */
  canTake(request: LinkRequest, now: number): boolean {
    const { bodyBytes, objectiveLeftMs, deadlineLeftMs, isReturn } = request;
    const queueMs = Math.max(this.sent.ms(now), this.planned.ms(now));
    if (queueMs === 0) return true;
    const bodyMs = this.sendMs(bodyBytes + HEAD_BYTES, now);
    if (queueMs + bodyMs > deadlineLeftMs) return false;
    if (bodyBytes <= SHORT_BODY_BYTES) return true;
    const firstMs = Math.min(
      MAX_FIRST_WAIT_MS,
      Math.max(0, objectiveLeftMs) * MAX_OBJECTIVE_SHARE,
    );
    const limitMs = isReturn ? MAX_RETURN_WAIT_MS : firstMs;
    if (queueMs + bodyMs <= limitMs) return true;
    return queueMs <= limitMs * NEARLY_EMPTY_SHARE;
  }

  /** A connection was not established in time. */
  recordTimeout(address: string, now: number): void {
    this.timeouts += 1;
    this.timedOut.add(address);
    if (this.timeouts < TIMEOUTS_TO_SLOW) return;
    if (this.timedOut.size < ADDRESSES_TO_SLOW) return;
    this.slowedUntil = now + SLOWED_MS;
  }

  /** A connection was established in time. */
  recordConnected(): void {
    this.timeouts = 0;
    this.timedOut.clear();
  }

  private sendMs(bytes: number, now: number): number {
    const slowing = now < this.slowedUntil ? 2 : 1;
    return (bytes * slowing) / (this.bytesPerMs * PLANNED_SHARE);
  }
}
