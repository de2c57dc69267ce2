/**
 * Ejection of a failing upstream and its return. Pure: the state and an
 * event in, the next state out.
 */

export interface Health {
  /** Failures since the last success. */
  failures: number;
  /** Instant until which it gets no work, ms; 0: not ejected. */
  ejectedUntil: number;
  /** Times it was ejected in a row; makes the next ejection longer. */
  ejections: number;
  /** Instant at which it came back, ms; 0: never away. */
  returnedAt: number;
  /** Whether one request is out as a probe. */
  probing: boolean;
}

export const HEALTHY: Health = {
  failures: 0,
  ejectedUntil: 0,
  ejections: 0,
  returnedAt: 0,
  probing: false,
};

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 1000;
const LONGEST_EJECTION_MS = 30_000;
const WARM_UP_MS = 10_000;

/** A request failed in a way that speaks against the upstream. */
export const afterFailure = (
  health: Health,
  now: number,
  isUnreachable: boolean,
): Health => {
  const failures = health.failures + 1;
  // Requests that were out when it was ejected fail too, and so may one that
  // found no other: they are no reason to keep it away for longer.
  if (isEjected(health, now) && !health.probing) return health;
  const isOver =
    isUnreachable || health.probing || failures >= FAILURES_TO_EJECT;
  if (!isOver) return { ...health, failures };
  const pause = Math.min(
    LONGEST_EJECTION_MS,
    FIRST_EJECTION_MS * 2 ** health.ejections,
  );
  return {
    failures,
    ejectedUntil: now + pause,
    ejections: health.ejections + 1,
    returnedAt: 0,
    probing: false,
  };
};

/** A request succeeded. */
export const afterSuccess = (health: Health, now: number): Health => {
  if (health.failures === 0 && !health.probing) return health;
  const wasAway = health.ejections > 0;
  return {
    ...HEALTHY,
    returnedAt: wasAway ? now : health.returnedAt,
  };
};

/** The probe went out. */
export const afterProbeSent = (health: Health, now: number): Health => ({
  ...health,
  probing: true,
  // The next probe may go only once this one has had its time.
  ejectedUntil: now + FIRST_EJECTION_MS,
});

export const isEjected = (health: Health, now: number): boolean =>
  health.ejectedUntil > now;

/** Whether the next request to it is a probe. */
export const needsProbe = (health: Health, now: number): boolean =>
  health.ejections > 0 && health.ejectedUntil <= now;

/** 0 to 1: how much work a returning upstream may be given. */
export const warmUpFraction = (health: Health, now: number): number => {
  if (health.returnedAt === 0) return 1;
  return Math.min(1, (now - health.returnedAt) / WARM_UP_MS);
};
