/**
 * Types for the quarantine of what crashes the replicas that run it.
 */

/** What may be the cause when a replica ends under a request. */
export interface SuspectRequest {
  digest: string;
  /** Keys of the prompt parts that it shares with other requests. */
  parts: readonly string[];
  /** Time since its response was interrupted, ms; absent: just now. */
  agoMs?: number;
}

/**
 * Replica incarnations seen to end by one process, by request digest or part
 * key; for a part, each is followed by a space, a request that had it, `@`, and
 * the wall-clock time, ms.
 */
export type EndRecord = Record<string, string[]>;

export const QUARANTINE_STATES = ["barred", "on-trial", "cleared"] as const;

/**
 * - `barred`: does not run, except in trials.
 * - `on-trial`: one process may run it once; no other does until that process
 *   has recorded the outcome, or has been silent for too long.
 * - `cleared`: a trial succeeded; the ends counted so far had another cause.
 */
export type QuarantineState = (typeof QUARANTINE_STATES)[number];

/**
 * The fleet's decision on one request or part; a later step replaces an earlier
 * one.
 */
export interface QuarantineRecord {
  /** Digest of the request, or key of the part. */
  digest: string;
  state: QuarantineState;
  step: number;
  /** Replica incarnations that ended under it. */
  lives: string[];
  /**
   * Sends to replicas that trials have used, or may have used; for a part, the
   * number of trials.
   */
  sends: number;
  /**
   * Process that took the step and when, ms since 1970: informational, except
   * that `at` orders the records to drop and `by` names the process that runs a
   * trial.
   */
  by: string;
  at: number;
}

/** Whether a request may run. */
export type QuarantineVerdict =
  | { kind: "free" }
  | { kind: "refused"; record: QuarantineRecord }
  /** One process may run it once in a trial of these, if the store agrees. */
  | { kind: "may-try"; records: readonly QuarantineRecord[] };
