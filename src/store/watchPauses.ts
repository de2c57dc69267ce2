/** Decides how long a watch pauses between two calls. Pure. */

/**
 * First pause after changes, ms, so that changes close together arrive in one
 * answer. Without it, while 39 replicas register, each of 100 processes makes
 * one call per replica.
 */
const MIN_CHANGE_PAUSE_MS = 300;
/** Growth of the pause with each answer that follows the one before. */
const PAUSE_GROWTH = 1.5;
/**
 * Upper bound of the pause, ms: a replica that leaves must be known within a
 * second, and the call after the pause takes a part of it.
 */
const MAX_CHANGE_PAUSE_MS = 700;
/** The pause is at most this fraction of the time in which news must apply. */
const PAUSE_FRACTION = 1 / 3;

/** Times in which changes must take effect, ms. */
export interface ChangeBounds {
  /** Of a configuration; Infinity: none is set. */
  applyMs: number;
  /** How long a replica that leaves continues to serve; 0: not known. */
  drainMs: number;
}

export const maxChangePauseMs = ({ applyMs, drainMs }: ChangeBounds): number =>
  Math.max(
    MIN_CHANGE_PAUSE_MS,
    Math.min(
      MAX_CHANGE_PAUSE_MS,
      PAUSE_FRACTION * applyMs,
      PAUSE_FRACTION * drainMs,
    ),
  );

export interface ChangePauseInput {
  /** The pause before the call, ms; 0 if there was none. */
  previousMs: number;
  /**
   * How long the call waited for the changes, ms; one that waited for less than
   * the first pause follows the answer before.
   */
  tookMs: number;
  /** Whether a fresh holder of a large fleet vouches for the kind. */
  isVouched: boolean;
  /** Maximum pause, ms. */
  maxMs?: number;
}

/**
 * The pause after an answer with changes. It grows only while a holder vouches:
 * small fleets make few calls, and keep the first pause.
 */
export const changePauseMs = ({
  previousMs,
  tookMs,
  isVouched,
  maxMs = MIN_CHANGE_PAUSE_MS,
}: ChangePauseInput): number => {
  if (!isVouched || tookMs >= MIN_CHANGE_PAUSE_MS) return MIN_CHANGE_PAUSE_MS;
  const grownMs = previousMs * PAUSE_GROWTH;
  return Math.min(maxMs, Math.max(MIN_CHANGE_PAUSE_MS, grownMs));
};

const MIN_BACKOFF_MS = 80;
const MAX_BACKOFF_MS = 700;
/**
 * Maximum back-off while a fresh holder vouches for what is known, ms. News
 * would come from the holder, so the call only finds the end of the trouble.
 */
const MAX_VOUCHED_BACKOFF_MS = 2000;
/**
 * A call that failed later than this was not refused but timed out, ms. The
 * next one may wait as long, which leaves no time for a long back-off.
 */
const REFUSAL_TIME_MS = 300;

/** A failed call, and how the next one is delayed. */
export interface FailedCall {
  /** Failed calls in a row. */
  failures: number;
  failedAt: number;
  tookMs: number;
  /** Random number in 0..1 that spreads the retries of processes. */
  draw: number;
}

export interface RetryInput {
  /** Whether a fresh holder vouches for what this process knows. */
  isVouched: boolean;
  /** Maximum time for news to arrive after the end of trouble, ms. */
  newsBoundMs: number;
  /** When a watch of this process was last answered again after failures, ms. */
  regainedAt: number;
}

/** When the call after a failed one is due, ms. */
export const retryDueAt = (
  { failures, failedAt, tookMs, draw }: FailedCall,
  { isVouched, newsBoundMs, regainedAt }: RetryInput,
): number => {
  const isLong = isVouched && tookMs < REFUSAL_TIME_MS;
  if (isLong && regainedAt > failedAt) return failedAt;
  const maxMs = isLong
    ? Math.min(MAX_VOUCHED_BACKOFF_MS, newsBoundMs)
    : MAX_BACKOFF_MS;
  const backoffMs = Math.min(maxMs, MIN_BACKOFF_MS * 2 ** (failures - 1));
  return failedAt + backoffMs * (0.5 + draw / 2);
};

/**
 * Shared by the watches of a process: when one of them was last answered again
 * after failures, so that the others end a long back-off.
 */
export class StoreRecovery {
  regainedAt = -Infinity;
}
