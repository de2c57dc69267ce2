/** What is known of requests that end the replicas that run them. */

/** What one process has seen: by digest of a request, lives that ended. */
export type EndRecord = Record<string, string[]>;

export const QUARANTINE_STATES = ["barred", "on-trial", "cleared"] as const;

/**
 * - `barred`: it runs nowhere, but for a trial while sends are left for one.
 * - `on-trial`: one process may run it once; no other does until that one
 *   has said what came of it.
 * - `cleared`: a trial ended well; the ends counted so far were not its own.
 */
export type QuarantineState = (typeof QUARANTINE_STATES)[number];

/** The fleet's judgement of one request; a later step replaces a former. */
export interface QuarantineRecord {
  digest: string;
  state: QuarantineState;
  step: number;
  /** Lives of replicas that ended under it. */
  lives: string[];
  /** Sends to replicas that trials have used up, or may have. */
  sends: number;
  /** Process that took the step, and when, ms since 1970: for people only. */
  by: string;
  at: number;
}

/** What to do with a request. */
export type QuarantineVerdict =
  | { kind: "free" }
  | { kind: "refused"; record: QuarantineRecord }
  /** One process may let it run once, if the store agrees. */
  | { kind: "may-try"; record: QuarantineRecord };
