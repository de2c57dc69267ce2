/**
 * One process's view of a service's lease, by its own monotonic clock alone.
 * A follower takes the lease after it has seen it unchanged for the whole
 * lease time; a holder trusts it for less than that, counted from before its
 * last renewal was sent. So the two times never overlap.
 */
import type { Lease } from "./types.js";

/** Part of the lease time for which a holder trusts it. */
const TRUSTED_PART = 0.6;
/** Part of the lease time after which a holder renews. */
const RENEW_PART = 0.25;

export interface LeaseState {
  /** The lease as last seen. */
  seen: Lease | null;
  /** When it was first seen so, ms of the watching clock. */
  seenAt: number;
  /** While this process holds it: its renewal's send, ms of its own clock. */
  sentAt: number | undefined;
}

export const NO_LEASE: LeaseState = {
  seen: null,
  seenAt: 0,
  sentAt: undefined,
};

const isSameLease = (left: Lease | null, right: Lease | null): boolean =>
  left?.holder === right?.holder &&
  left?.epoch === right?.epoch &&
  left?.beat === right?.beat;

/** The lease was read. */
export const observeLease = (
  state: LeaseState,
  lease: Lease | null,
  self: string,
  now: number,
): LeaseState => {
  const isMine = lease?.holder === self;
  const sentAt = isMine ? state.sentAt : undefined;
  if (isSameLease(state.seen, lease)) return { ...state, sentAt };
  return { seen: lease, seenAt: now, sentAt };
};

/** A write that takes or renews it took effect; it was sent at `sentAt`. */
export const leaseAfterWrite = (
  lease: Lease,
  seenAt: number,
  sentAt = seenAt,
): LeaseState => ({ seen: lease, seenAt, sentAt });

/** Whether this process may act as the holder now. */
export const isLeaseHeld = (
  state: LeaseState,
  self: string,
  leaseMs: number,
  now: number,
): boolean =>
  state.seen?.holder === self &&
  state.sentAt !== undefined &&
  now < state.sentAt + leaseMs * TRUSTED_PART;

export type LeaseStep = "take" | "renew" | "wait";

/**
 * What to do about the lease now. `heldNow` is a holder's own clock, where
 * that one counts suspensions of its machine besides: they shorten the trust
 * in an own lease, and are no time for which another's was watched.
 */
export const nextLeaseStep = (
  state: LeaseState,
  self: string,
  leaseMs: number,
  now: number,
  heldNow = now,
): LeaseStep => {
  if (state.seen === null) return "take";
  if (state.seen.holder === self && state.sentAt !== undefined) {
    return heldNow >= state.sentAt + leaseMs * RENEW_PART ? "renew" : "wait";
  }
  return now >= state.seenAt + leaseMs ? "take" : "wait";
};
