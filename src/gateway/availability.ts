/**
 * Tracks the signals in replicas' responses: that a replica is leaving, or
 * that it asks this process to back off. Signals are stored per incarnation,
 * so that a new one under the same name or address starts without any. They
 * outlive the replica's entry in the list, which may expire and reappear while
 * the store is unavailable. No I/O; all times are ms of one clock.
 */
import { LRUCache } from "lru-cache";

import type { ReplicaSignal } from "./types.js";

/** Incarnations whose signals are kept, in an LRU; 3,400 are expected. */
const MAX_INCARNATIONS = 8192;
/**
 * Upper limit on the duration of any signal, ms. A leaving replica ends within
 * seconds, so one that still responds after an hour without the signal did not
 * leave. A longer back-off must have been sent in another unit; any shorter one
 * is honored.
 */
export const MAX_SIGNAL_MS = 3_600_000;
/**
 * Duration of a leaving signal in a response that carries another request's
 * id, ms. Honored for an hour, one garbled response would take a replica out of
 * service; ignored, the next request would reach a leaving replica too late. A
 * back-off ends by itself and is always honored.
 */
export const UNPROVEN_LEAVING_MS = 2000;
/** Timeout of the probe, the first request after a back-off, ms. */
const PROBE_TIMEOUT_MS = 1000;

/** Why a replica gets no requests at the moment. */
export type UnavailableReason =
  | { kind: "leaving" }
  /** `untilMs`: instant at which the back-off ends. */
  | { kind: "backing-off"; untilMs: number };

/** A replica that gets no requests at the moment; `id`: of its incarnation. */
export interface UnavailableReplica {
  id: string;
  reason: UnavailableReason;
}

/** The state that a response has newly caused; undefined if none. */
export type SignalChange = UnavailableReason["kind"] | undefined;

interface SignalState {
  /** Instant of the first leaving signal; undefined if there was none. */
  leavingSince: number | undefined;
  /** Instant at which the leaving signal expires. */
  leavingUntil: number;
  backOffUntil: number;
  /** No response without a new back-off has come since the last one ended. */
  needsProbe: boolean;
  /** Instant until which the probe after the back-off is awaited. */
  probeUntil: number;
}

const NO_SIGNALS: SignalState = {
  leavingSince: undefined,
  leavingUntil: -Infinity,
  backOffUntil: -Infinity,
  needsProbe: false,
  probeUntil: -Infinity,
};

export class Availability {
  private readonly states = new LRUCache<string, SignalState>({
    max: MAX_INCARNATIONS,
  });
  /** Replicas that leave, back off or await a probe; few at any time. */
  private readonly unavailable = new Set<string>();

  /**
   * `lastResortMs`: how long after its first leaving signal a replica is still
   * used if its service has no other.
   */
  constructor(private readonly lastResortMs = 0) {}

  /** `isProven`: the response belongs to the request that was sent. */
  record(
    id: string,
    signal: ReplicaSignal,
    isProven: boolean,
    now: number,
  ): SignalChange {
    const before = this.states.get(id);
    const { isLeaving, backOffMs = 0 } = signal;
    if (!isLeaving && backOffMs <= 0) {
      if (before !== undefined) endProbe(before, now);
      return undefined;
    }
    const state = { ...(before ?? NO_SIGNALS) };
    const wasLeaving = state.leavingUntil > now;
    const wasBackingOff = state.backOffUntil > now;
    if (isLeaving) applyLeaving(state, isProven, now);
    if (backOffMs > 0) applyBackOff(state, backOffMs, now);
    this.states.set(id, state);
    this.unavailable.add(id);
    if (isLeaving && !wasLeaving) return "leaving";
    return backOffMs > 0 && !wasBackingOff ? "backing-off" : undefined;
  }

  /** Records a leaving signal that another process received. */
  markLeaving(id: string, now: number): SignalChange {
    return this.record(
      id,
      { isLeaving: true, backOffMs: undefined },
      true,
      now,
    );
  }

  /** Why no request may be sent to it; undefined if one may. */
  refusal(id: string, now: number): UnavailableReason | undefined {
    const state = this.states.peek(id);
    if (state === undefined) return undefined;
    if (state.leavingUntil > now) return { kind: "leaving" };
    const untilMs = blockedUntil(state, now);
    return untilMs > now ? { kind: "backing-off", untilMs } : undefined;
  }

  /**
   * Like `refusal`, for a request that is sent now: if it is the first after a
   * back-off, it becomes the probe.
   */
  refusalAtSend(id: string, now: number): UnavailableReason | undefined {
    const refusal = this.refusal(id, now);
    const state = this.states.peek(id);
    if (refusal === undefined && state?.needsProbe === true) {
      state.probeUntil = now + PROBE_TIMEOUT_MS;
    }
    return refusal;
  }

  /** Whether it began to leave recently enough to be used as a last resort. */
  isLastResort(id: string, now: number): boolean {
    const since = this.states.peek(id)?.leavingSince;
    return since !== undefined && now - since < this.lastResortMs;
  }

  /** Instant of the next change of its leaving state, ms; Infinity if none. */
  leavingUnchangedUntil(id: string, now: number): number {
    const { leavingSince: since, leavingUntil } =
      this.states.peek(id) ?? NO_SIGNALS;
    if (since === undefined) return Infinity;
    const ends = [since + this.lastResortMs, leavingUntil];
    return Math.min(...ends.filter((end) => end > now));
  }

  /** Replicas that get no requests now, and why. */
  unavailableReplicas(now: number): UnavailableReplica[] {
    const found: UnavailableReplica[] = [];
    for (const id of this.unavailable) {
      const reason = this.refusal(id, now);
      if (reason !== undefined) found.push({ id, reason });
      else if (!this.awaitsProbe(id)) this.unavailable.delete(id);
    }
    return found;
  }

  /** Whether its last back-off still needs a successful probe. */
  private awaitsProbe(id: string): boolean {
    return this.states.peek(id)?.needsProbe ?? false;
  }
}

const applyLeaving = (
  state: SignalState,
  isProven: boolean,
  now: number,
): void => {
  const longest = isProven ? MAX_SIGNAL_MS : UNPROVEN_LEAVING_MS;
  state.leavingSince ??= now;
  state.leavingUntil = Math.max(state.leavingUntil, now + longest);
};

/** A back-off requested during another one extends it. */
const applyBackOff = (
  state: SignalState,
  backOffMs: number,
  now: number,
): void => {
  const until = now + Math.min(backOffMs, MAX_SIGNAL_MS);
  state.backOffUntil = Math.max(state.backOffUntil, until);
  state.needsProbe = true;
  state.probeUntil = -Infinity;
};

/** Responses to requests in flight when it was requested do not end it. */
const endProbe = (state: SignalState, now: number): void => {
  if (!state.needsProbe || state.backOffUntil > now) return;
  state.needsProbe = false;
  state.probeUntil = -Infinity;
};

/**
 * After a back-off a single probe goes first, because all entries may have been
 * told to back off at the same time.
 */
const blockedUntil = (
  { backOffUntil, probeUntil }: SignalState,
  now: number,
): number => (backOffUntil > now ? backOffUntil : probeUntil);
