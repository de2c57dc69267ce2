/**
 * What replicas say of themselves in their answers: that they leave, or that
 * they want nothing from this process for some time. Pure; by life, so that
 * the next one under a name or at an address starts without a signal. Such a
 * signal outlasts the replica's entry in the list, which may lapse and come
 * back while the store is away. Times are ms of one clock.
 */
import { LRUCache } from "lru-cache";

import type { ReplicaSignal } from "./types.js";

/** Lives whose signals are remembered, the newest first; 3,400 are expected. */
const MAX_LIVES = 8192;
/**
 * No signal counts for longer, ms. A replica that leaves ends within seconds:
 * one that answers after an hour without saying so did not. A back-off of more
 * was meant in another unit; all that is asked below it is kept to.
 */
export const MAX_SIGNAL_MS = 3_600_000;
/**
 * An answer that belongs to another request says that its replica leaves: that
 * counts for so long, ms. Believed for an hour, one garbled answer would take a
 * replica from service; not believed at all, the next send to one that leaves
 * would come too late. A back-off ends by itself and is always believed.
 */
export const UNPROVEN_LEAVING_MS = 2000;
/** The first send after a back-off has this long to be answered, ms. */
const PROBE_TIMEOUT_MS = 1000;

/** Why a replica gets nothing at the moment. */
export type UnavailableReason =
  | { kind: "leaving" }
  /** `untilMs`: instant at which the back-off ends. */
  | { kind: "backing-off"; untilMs: number };

/** A life that gets nothing at the moment. */
export interface UnavailableReplica {
  id: string;
  reason: UnavailableReason;
}

/** What an answer has changed; undefined: nothing. */
export type SignalChange = UnavailableReason["kind"] | undefined;

interface SignalState {
  /** First signal that it leaves; undefined: none. */
  leavingSince: number | undefined;
  /** Until when the signal that it leaves counts. */
  leavingUntil: number;
  backOffUntil: number;
  /** No answer since the end of the back-off has come without another. */
  needsProbe: boolean;
  /** The first send after the back-off is out until then. */
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
  private readonly known = new LRUCache<string, SignalState>({
    max: MAX_LIVES,
  });
  /** Lives that leave, back off or are probed after it: few at any time. */
  private readonly unavailable = new Set<string>();

  /**
   * `lastResortMs`: how long after its first signal a replica that leaves is
   * used where its service has no other.
   */
  constructor(private readonly lastResortMs = 0) {}

  /** `isProven`: the answer belongs to the request that was sent. */
  record(
    id: string,
    signal: ReplicaSignal,
    isProven: boolean,
    now: number,
  ): SignalChange {
    const before = this.known.get(id);
    const { isLeaving, backOffMs = 0 } = signal;
    if (!isLeaving && backOffMs <= 0) {
      if (before !== undefined) endProbe(before, now);
      return undefined;
    }
    const known = { ...(before ?? NO_SIGNALS) };
    const wasLeaving = known.leavingUntil > now;
    const wasBackingOff = known.backOffUntil > now;
    if (isLeaving) applyLeaving(known, isProven, now);
    if (backOffMs > 0) applyBackOff(known, backOffMs, now);
    this.known.set(id, known);
    this.unavailable.add(id);
    if (isLeaving && !wasLeaving) return "leaving";
    return backOffMs > 0 && !wasBackingOff ? "backing-off" : undefined;
  }

  /** Another process heard it say that it leaves. */
  markLeaving(id: string, now: number): SignalChange {
    return this.record(
      id,
      { isLeaving: true, backOffMs: undefined },
      true,
      now,
    );
  }

  /** Why nothing is to be sent to it; undefined: it may be. */
  refusal(id: string, now: number): UnavailableReason | undefined {
    const known = this.known.peek(id);
    if (known === undefined) return undefined;
    if (known.leavingUntil > now) return { kind: "leaving" };
    const untilMs = blockedUntil(known, now);
    return untilMs > now ? { kind: "backing-off", untilMs } : undefined;
  }

  /** The same for a send that leaves now, which is the first after a back-off. */
  refusalAtSend(id: string, now: number): UnavailableReason | undefined {
    const refusal = this.refusal(id, now);
    const known = this.known.peek(id);
    if (refusal === undefined && known?.needsProbe === true) {
      known.probeUntil = now + PROBE_TIMEOUT_MS;
    }
    return refusal;
  }

  /** Whether it was heard to leave so lately that it may do as the last one. */
  isLastResort(id: string, now: number): boolean {
    const since = this.known.peek(id)?.leavingSince;
    return since !== undefined && now - since < this.lastResortMs;
  }

  /** Until when its signal that it leaves means the same, ms. */
  leavingUnchangedUntil(id: string, now: number): number {
    const { leavingSince: since, leavingUntil } =
      this.known.peek(id) ?? NO_SIGNALS;
    if (since === undefined) return Infinity;
    const ends = [since + this.lastResortMs, leavingUntil];
    return Math.min(...ends.filter((end) => end > now));
  }

  /** Lives that are to get nothing now, and why. */
  unavailableReplicas(now: number): UnavailableReplica[] {
    const found: UnavailableReplica[] = [];
    for (const id of this.unavailable) {
      const reason = this.refusal(id, now);
      if (reason !== undefined) found.push({ id, reason });
      else if (!this.awaitsProbe(id)) this.unavailable.delete(id);
    }
    return found;
  }

  /** Whether a probe is still due after its back-off. */
  private awaitsProbe(id: string): boolean {
    return this.known.peek(id)?.needsProbe ?? false;
  }
}

const applyLeaving = (
  known: SignalState,
  isProven: boolean,
  now: number,
): void => {
  const longest = isProven ? MAX_SIGNAL_MS : UNPROVEN_LEAVING_MS;
  known.leavingSince ??= now;
  known.leavingUntil = Math.max(known.leavingUntil, now + longest);
};

/** An answer within the back-off that asks for another prolongs it. */
const applyBackOff = (
  known: SignalState,
  backOffMs: number,
  now: number,
): void => {
  const until = now + Math.min(backOffMs, MAX_SIGNAL_MS);
  known.backOffUntil = Math.max(known.backOffUntil, until);
  known.needsProbe = true;
  known.probeUntil = -Infinity;
};

/** What was under way when the back-off was asked for does not end it. */
const endProbe = (known: SignalState, now: number): void => {
  if (!known.needsProbe || known.backOffUntil > now) return;
  known.needsProbe = false;
  known.probeUntil = -Infinity;
};

/** All entries may be sent away at once: after a back-off one send goes first. */
const blockedUntil = (
  { backOffUntil, probeUntil }: SignalState,
  now: number,
): number => (backOffUntil > now ? backOffUntil : probeUntil);
