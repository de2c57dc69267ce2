/** Messages and shares of the rates that replicas say they take. */

/** What a replica has said of its rate, as processes tell each other. */
export interface RateNews {
  /** One life of a replica. */
  replica: string;
  /** Requests a second that it takes from all processes together. */
  perS: number;
  /** Since its answers name no limit any more, ms; undefined: they do. */
  endedAgoMs: number | undefined;
}

/** How much of a replica's rate this process may use. */
export interface PermitShare {
  /** Part of the rate, 0 to 1. */
  fraction: number;
  /** Others have to ask this process, and use none by themselves. */
  isAllocator: boolean;
}

/** Whether one more request may go to a replica. */
export type PermitAnswer =
  | { kind: "acquired" }
  /** `waitMs`: when to ask again. */
  | { kind: "held-back"; waitMs: number };

/** What the scheduler has to know of the rates that engines take. */
export interface EnginePermits {
  /** Whether one more request may go there now. */
  mayAcquire(engine: string, now: number): boolean;
  /** Takes the permit for it; false: there is none. */
  acquire(engine: string, now: number): boolean;
  /** Requests a second that this process may send there; Infinity: any. */
  ratePerS(engine: string, now: number): number;
}

/** For schedulers whose engines never name a limit. */
export const NO_LIMITS: EnginePermits = {
  mayAcquire: () => true,
  acquire: () => true,
  ratePerS: () => Infinity,
};
