/**
 * Decides how long the next call of a watch waits, and when a call that waits
 * is cancelled. Pure.
 */
import type { Vouch } from "./holderVouches.js";

/**
 * Wait of a call while a holder vouches, ms. A change ends it at once. At 15 s
 * an entry makes a sixth of the calls; longer waits would save little more.
 */
export const LONG_WAIT_MS = 15_000;
/**
 * Wait of the first call after a cancelled or failed one, ms: it shows soon
 * whether the store answers, and proves the configuration.
 */
export const PROBE_WAIT_MS = 500;
/**
 * Maximum wait of a process that vouches, ms. Others learn from it that their
 * connections are dead, so it must find out earlier that its own one is.
 */
export const VOUCHING_WAIT_MS = 1000;
/**
 * How long a change that the holder reports may be missing here before the
 * call is taken to be cut off, ms. Both are sent the change at the same time,
 * and callers need it within a second of the holder.
 */
const NEWS_GRACE_MS = 300;

/**
 * No long wait begins for this time after the vouch has ended one, ms: where a
 * holder's messages are late again and again, each would cost a cancelled call
 * and a probe, more calls than without long waits.
 */
export const LONG_WAIT_HOLD_MS = 5000;

/** Why a call is cancelled. */
export type CancelCause =
  "vouch ended" | "news missing" | "proof old" | "stopped";

export interface WaitInput {
  /** Present wait, without a vouch, ms. */
  baseWaitMs: number;
  /** Store position of the watch. */
  position: number;
  /** Undefined if no holder vouches for the kind. */
  vouch: Vouch | undefined;
  /** Whether the call before was cancelled or failed. */
  isProbe: boolean;
  /**
   * Whether the holder has not proven the configuration in time, so that this
   * process has to prove it by its own calls.
   */
  isProofOld: boolean;
}

export interface NextWaitInput extends WaitInput {
  /** Whether this process vouches for others as the holder of a lease. */
  isVouching: boolean;
  /** Time since the end of a vouch has cancelled a call, ms. */
  sinceVouchEndedMs: number;
}

/** A call that is under way. */
export interface OpenCall {
  sentAt: number;
  waitMs: number;
}

export const nextWaitMs = (input: NextWaitInput): number => {
  const { baseWaitMs, position, vouch, isProbe, isProofOld } = input;
  if (isProbe) return Math.min(PROBE_WAIT_MS, baseWaitMs);
  if (input.isVouching) return Math.min(VOUCHING_WAIT_MS, baseWaitMs);
  const isHeld = input.sinceVouchEndedMs < LONG_WAIT_HOLD_MS;
  if (isHeld) return baseWaitMs;
  const isBehind = vouch !== undefined && vouch.revision > position;
  if (vouch === undefined || isBehind || isProofOld) return baseWaitMs;
  return Math.max(LONG_WAIT_MS, baseWaitMs);
};

/** Why the call has to be cancelled now; undefined if it may go on. */
export const cancelCause = (
  input: Pick<WaitInput, "baseWaitMs" | "vouch" | "isProofOld">,
  { sentAt, waitMs }: OpenCall,
  now: number,
): CancelCause | undefined => {
  const { baseWaitMs, vouch, isProofOld } = input;
  const isLong = waitMs > baseWaitMs;
  if (vouch === undefined) return isLong ? "vouch ended" : undefined;
  if (isLong && isProofOld) return "proof old";
  const { aheadSince } = vouch;
  // A call that was sent after the first missing news brings it, or runs out
  // soon. It goes on although further news comes: otherwise an entry to which
  // the store answers slowly would cancel each call while changes go on.
  if (aheadSince === undefined || sentAt >= aheadSince) return undefined;
  return now - aheadSince >= NEWS_GRACE_MS ? "news missing" : undefined;
};
