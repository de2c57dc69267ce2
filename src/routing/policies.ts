/** The routing policy in use, and the baselines it is measured against. */
import type { Rng } from "../shared/rng.js";
import { prefillRate, serviceMs, waitMs } from "./loadModel.js";
import type {
  Candidate,
  Choice,
  RouteRequest,
  RoutingPolicy,
} from "./types.js";

export const POLICY_NAMES = [
  "expected-finish",
  "least-in-flight",
  "round-robin",
  "random",
] as const;

export type PolicyName = (typeof POLICY_NAMES)[number];

/** Fixed cost of a request and of each one beside it, ms: without it the
 * estimates of plain services would all be zero and the first would win. */
const REQUEST_MS = 1;
/** Spread put on equal estimates, so that entries do not herd. */
const JITTER = 0.1;
/** Weight of the fleet's cost against the request's own time. */
const FLEET_WEIGHT = 3;
const MS = 1000;
/** Least warmth that counts, so that a cold upstream still gets work. */
const LEAST_WARMTH = 0.2;

/** Expected time to the end of the answer on one candidate, ms. */
export const expectedMs = (
  candidate: Candidate,
  request: RouteRequest,
): number => {
  const { capacity } = request.service;
  const prefillTokens = Math.max(
    0,
    request.promptTokens - candidate.cachedTokens,
  );
  const own = { prefillTokens, outputTokens: request.outputTokens };
  const { role, paceMs } = candidate;
  const wait = waitMs(candidate.work, capacity, role);
  const run = serviceMs(own, candidate.work, capacity, role, paceMs);
  const fixed = REQUEST_MS * (1 + candidate.work.active);
  return (
    (fixed + wait + run) / Math.max(LEAST_WARMTH, candidate.warmUpFraction)
  );
};

/** Time that reading what is not cached takes an engine, ms. */
const readingMs = (candidate: Candidate, request: RouteRequest): number => {
  const { capacity } = request.service;
  const unread = Math.max(0, request.promptTokens - candidate.cachedTokens);
  return (unread / prefillRate(capacity, candidate.role)) * MS;
};

const chosen = (
  candidate: Candidate | undefined,
  request: RouteRequest,
  considered: { id: string; expectedMs: number }[],
): Choice | undefined => {
  if (candidate === undefined) return undefined;
  return {
    upstream: candidate.upstream,
    expectedMs: expectedMs(candidate, request),
    cachedTokens: candidate.cachedTokens,
    considered,
  };
};

/**
 * Least expected finish time plus what the choice costs the fleet: a prompt
 * that is read anew takes its engine away from others as well. With a small
 * random spread.
 */
export class ExpectedFinishPolicy implements RoutingPolicy {
  readonly name = "expected-finish";

  constructor(private readonly rng: Rng) {}

  pick(candidates: Candidate[], request: RouteRequest): Choice | undefined {
    const considered: { id: string; expectedMs: number }[] = [];
    let best: Candidate | undefined;
    let bestScore = Infinity;
    for (const candidate of candidates) {
      const expected = expectedMs(candidate, request);
      considered.push({ id: candidate.upstream.id, expectedMs: expected });
      const cost = FLEET_WEIGHT * readingMs(candidate, request);
      const score = (expected + cost) * (1 + JITTER * this.rng());
      if (score >= bestScore) continue;
      best = candidate;
      bestScore = score;
    }
    return chosen(best, request, considered);
  }
}

/** Baseline: fewest requests of this entry in flight. */
export class LeastInFlightPolicy implements RoutingPolicy {
  readonly name = "least-in-flight";

  constructor(private readonly rng: Rng) {}

  pick(candidates: Candidate[], request: RouteRequest): Choice | undefined {
    const start = Math.floor(this.rng() * candidates.length);
    let best: Candidate | undefined;
    for (let step = 0; step < candidates.length; step += 1) {
      const item = candidates[(start + step) % candidates.length];
      if (item === undefined) continue;
      if (best === undefined || item.ownInFlight < best.ownInFlight) {
        best = item;
      }
    }
    return chosen(best, request, []);
  }
}

/** Baseline: each in turn. */
export class RoundRobinPolicy implements RoutingPolicy {
  readonly name = "round-robin";
  private next = 0;

  pick(candidates: Candidate[], request: RouteRequest): Choice | undefined {
    const item = candidates[this.next % Math.max(1, candidates.length)];
    this.next += 1;
    return chosen(item, request, []);
  }
}

/** Baseline: any. */
export class RandomPolicy implements RoutingPolicy {
  readonly name = "random";

  constructor(private readonly rng: Rng) {}

  pick(candidates: Candidate[], request: RouteRequest): Choice | undefined {
    const at = Math.floor(this.rng() * candidates.length);
    return chosen(candidates[at], request, []);
  }
}

export const createPolicy = (name: PolicyName, rng: Rng): RoutingPolicy => {
  switch (name) {
    case "expected-finish":
      return new ExpectedFinishPolicy(rng);
    case "least-in-flight":
      return new LeastInFlightPolicy(rng);
    case "round-robin":
      return new RoundRobinPolicy();
    case "random":
      return new RandomPolicy(rng);
  }
};
