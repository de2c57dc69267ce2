/**
 * Ejects failing upstreams and readmits them after a successful probe. All
 * functions are pure: they map a state and an event to the next state.
 */

export interface Health {
  /** Consecutive failures since the last success. */
  failures: number;
  /** Time until which the upstream gets no requests, ms; 0 if not ejected. */
  ejectedUntil: number;
  /** Consecutive ejections; each one doubles the length of the next. */
  ejections: number;
  /** Time of the last readmission, ms; 0 if never ejected. */
  returnedAt: number;
  /** Whether a probe request is in flight. */
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
const INITIAL_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 30_000;
const WARM_UP_MS = 10_000;

/** The state after a failure for which the upstream is to blame. */
export const afterFailure = (
  health: Health,
  now: number,
  isUnreachable: boolean,
): Health => {
  const failures = health.failures + 1;
  // Requests that were in flight at the ejection may fail too, as may requests
  // sent here because every upstream was ejected. Neither extends the ejection.
  if (isEjected(health, now) && !health.probing) return health;
  const shouldEject =
    isUnreachable || health.probing || failures >= FAILURES_TO_EJECT;
  if (!shouldEject) return { ...health, failures };
  const ejectionMs = Math.min(
    MAX_EJECTION_MS,
    INITIAL_EJECTION_MS * 2 ** health.ejections,
  );
  return {
    failures,
    ejectedUntil: now + ejectionMs,
    ejections: health.ejections + 1,
    returnedAt: 0,
    probing: false,
  };
};

/** The state after a successful request. */
export const afterSuccess = (health: Health, now: number): Health => {
  if (health.failures === 0 && !health.probing) return health;
  const wasEjected = health.ejections > 0;
  return {
    ...HEALTHY,
    returnedAt: wasEjected ? now : health.returnedAt,
  };
};

/** The state after a probe was sent. */
export const afterProbeSent = (health: Health, now: number): Health => ({
  ...health,
  probing: true,
  // No further probe is sent until this one has had time to finish.
  ejectedUntil: now + INITIAL_EJECTION_MS,
});

export const isEjected = (health: Health, now: number): boolean =>
  health.ejectedUntil > now;

/** Whether the next request to the upstream serves as a probe. */
export const needsProbe = (health: Health, now: number): boolean =>
  health.ejections > 0 && health.ejectedUntil <= now;

/** Share of its normal load that a readmitted upstream may get, 0 to 1. */
export const warmUpFraction = (health: Health, now: number): number => {
  if (health.returnedAt === 0) return 1;
  return Math.min(1, (now - health.returnedAt) / WARM_UP_MS);
};
