/**
 * Types of the rate limits that replicas report and of the permits to use them.
 */

/** A replica's rate limit as processes send it to each other. */
export interface RateNews {
  /** Id of one incarnation of a replica. */
  replica: string;
  /** Requests per second that it takes from all processes together. */
  perS: number;
  /**
   * Time since its responses stopped reporting the limit, ms; undefined while
   * they report it.
   */
  endedAgoMs: number | undefined;
  /** Time since a response last reported it, ms. */
  reportedAgoMs: number;
}

/** How much of a replica's rate this process may use. */
export interface PermitShare {
  /** Fraction of the rate, 0 to 1. */
  fraction: number;
  /**
   * Whether this process allocates the rate: others request permits from it and
   * use none by themselves.
   */
  isAllocator: boolean;
}

/** Whether one more request may be sent to a replica. */
export type PermitAnswer =
  | { kind: "acquired" }
  /** `waitMs`: time after which to request a permit again, ms. */
  | { kind: "held-back"; waitMs: number };

/** What the scheduler needs to know about the rate limits of engines. */
export interface EnginePermits {
  /** Whether one more request may be sent there now. */
  mayAcquire(engine: string, now: number): boolean;
  /** Takes a permit; false if none is available. */
  acquire(engine: string, now: number): boolean;
  /**
   * Requests per second that this process may send there; Infinity if
   * unlimited.
   */
  ratePerS(engine: string, now: number): number;
}

/** For schedulers whose engines report no limits. */
export const NO_LIMITS: EnginePermits = {
  mayAcquire: () => true,
  acquire: () => true,
  ratePerS: () => Infinity,
};
