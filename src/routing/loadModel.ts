/**
 * How long a model engine is expected to need, from its declared rates and
 * the work it has. Entries choose by it, sides refuse by it.
 */
import type { Role, Service } from "../config/index.js";

/** Declared rates of a service's engines. */
export type Capacity = Service["capacity"];

/** Work that one upstream has, as its side counts it. */
export interface UpstreamWork {
  /** Prompt tokens handed over or queued and not read yet. */
  prefillTokens: number;
  /** Requests handed over. */
  active: number;
  /** Requests that wait at the side. */
  queued: number;
}

/** What one request asks of an engine. */
export interface RequestWork {
  /** Prompt tokens that are not in the engine's cache. */
  prefillTokens: number;
  /** Output tokens that it may produce. */
  outputTokens: number;
}

/** Rate of a role against a mixed engine, by kind of work. */
const ROLE_SPEED = {
  mixed: { prefill: 1, decode: 1 },
  prefill: { prefill: 1.3, decode: 0.5 },
  decode: { prefill: 0.5, decode: 1.3 },
} as const satisfies Record<Role, { prefill: number; decode: number }>;

const MS = 1000;

/** Prompt tokens a second for a role. */
export const prefillRate = (capacity: Capacity, role: Role): number =>
  capacity.prefillTokensPerSecond * ROLE_SPEED[role].prefill;

/** Output tokens a second of one sequence for a role. */
export const decodeRate = (capacity: Capacity, role: Role): number =>
  capacity.decodeTokensPerSecond * ROLE_SPEED[role].decode;

/** Time until work that is already there lets a new request start, ms. */
export const waitMs = (
  work: UpstreamWork,
  capacity: Capacity,
  role: Role,
): number => {
  const prefill = (work.prefillTokens / prefillRate(capacity, role)) * MS;
  const over = Math.max(0, work.active + work.queued - capacity.maxSequences);
  const slot = (over / capacity.maxSequences) * MS;
  return prefill + slot;
};

/** Time between two tokens, from the declared rate, ms. */
const declaredPaceMs = (
  work: UpstreamWork,
  capacity: Capacity,
  role: Role,
): number => {
  const share = Math.min(1, work.active / capacity.maxSequences);
  return (MS / decodeRate(capacity, role)) * (1 + share);
};

/**
 * Time that the request itself needs once it starts, ms. `paceMs` is the
 * measured time between two tokens; 0 takes the declared one.
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
