/**
 * One process's view of a service's lease, based only on its own monotonic
 * clock. A follower takes the lease once it has seen it unchanged for the whole
 * lease time. A holder trusts it for a shorter time, counted from before it sent
 * the last renewal, so two processes never hold the lease at once.
 */
import type { Lease } from "./types.js";

/** Fraction of the lease time for which the holder trusts the lease. */
const TRUSTED_FRACTION = 0.6;
/** Fraction of the lease time after which the holder renews the lease. */
const RENEW_FRACTION = 0.25;

export interface LeaseState {
  /** The lease as last read; null before a read or if it was never taken. */
  seen: Lease | null;
  /** When it was first seen in this state, ms of the clock passed as `now`. */
  seenAt: number;
  /** When this process sent its last renewal, ms; undefined if it is not the holder. */
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

/** The state after the lease was read. */
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

/** The state after a successful write, sent at `sentAt`, that took or renewed the lease. */
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
  now < state.sentAt + leaseMs * TRUSTED_FRACTION;

export type LeaseStep = "take" | "renew" | "wait";

/**
 * The next action on the lease. `holderNow` is the clock for an own lease, if it
 * differs from `now` in that it also counts machine suspensions: these shorten
 * the trust in an own lease, but don't count as time spent watching another
 * holder's lease.
 */
export const nextLeaseStep = (
  state: LeaseState,
  self: string,
  leaseMs: number,
  now: number,
  holderNow = now,
): LeaseStep => {
  if (state.seen === null) return "take";
  if (state.seen.holder === self && state.sentAt !== undefined) {
    return holderNow >= state.sentAt + leaseMs * RENEW_FRACTION
      ? "renew"
      : "wait";
  }
  return now >= state.seenAt + leaseMs ? "take" : "wait";
};
