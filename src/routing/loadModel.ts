/**
 * Estimates how long a request takes on a model engine from the engine's
 * declared rates and its current work. Entries use the estimates to choose an
 * upstream, sides to refuse requests that would miss their deadline.
 */
import type { Role, Service } from "../config/index.js";

/** Declared rates and limits of a service's engines. */
export type Capacity = Service["capacity"];

/** Current work of one upstream as counted by its side. */
export interface UpstreamWork {
  /** Prompt tokens of queued or running requests that are still to be read. */
  prefillTokens: number;
  /** Requests that the upstream is running. */
  active: number;
  /** Requests that wait in the side's queue. */
  queued: number;
}

/** Work that one request causes on an engine. */
export interface RequestWork {
  /** Prompt tokens that are not in the engine's cache. */
  prefillTokens: number;
  /** Maximum output tokens. */
  outputTokens: number;
}

/** Speed of each role relative to a mixed engine, by kind of work. */
const ROLE_SPEED = {
  mixed: { prefill: 1, decode: 1 },
  prefill: { prefill: 1.3, decode: 0.5 },
  decode: { prefill: 0.5, decode: 1.3 },
} as const satisfies Record<Role, { prefill: number; decode: number }>;

const MS = 1000;

/** Prompt tokens per second that an engine of a role reads. */
export const prefillRate = (capacity: Capacity, role: Role): number =>
  capacity.prefillTokensPerSecond * ROLE_SPEED[role].prefill;

/** Output tokens per second of one sequence on an engine of a role. */
export const decodeRate = (capacity: Capacity, role: Role): number =>
  capacity.decodeTokensPerSecond * ROLE_SPEED[role].decode;

/** Estimated time that a new request waits for the existing work, ms. */
export const waitMs = (
  work: UpstreamWork,
  capacity: Capacity,
  role: Role,
): number => {
  const prefill = (work.prefillTokens / prefillRate(capacity, role)) * MS;
  const excess = Math.max(0, work.active + work.queued - capacity.maxSequences);
  const slotWait = (excess / capacity.maxSequences) * MS;
  return prefill + slotWait;
};

/** Time between two output tokens at the declared rate, ms. */
const declaredPaceMs = (
  work: UpstreamWork,
  capacity: Capacity,
  role: Role,
): number => {
  const occupancy = Math.min(1, work.active / capacity.maxSequences);
  return (MS / decodeRate(capacity, role)) * (1 + occupancy);
};

/**
 * Estimated run time of a request once it starts, ms. `paceMs` is the measured
 * time between two output tokens; 0 falls back to the declared rate.
 */
export const serviceMs = (
  request: RequestWork,
  work: UpstreamWork,
  capacity: Capacity,
  role: Role,
  paceMs: number,
): number => {
  const prefill = (request.prefillTokens / prefillRate(capacity, role)) * MS;
  const pace = paceMs > 0 ? paceMs : declaredPaceMs(work, capacity, role);
  return prefill + request.outputTokens * pace;
};
