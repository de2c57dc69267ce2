/** The default routing policy and the baselines that it is compared with. */
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

/**
 * Fixed cost of a request and of each active one, ms. Without it, estimates
 * for plain services would all be zero and the first upstream would always win.
 */
const REQUEST_MS = 1;
/** Maximum relative jitter on a score, so that entries don't all pick the same upstream. */
const JITTER = 0.1;
/** Weight of the prefill time taken from other requests. */
const PREFILL_COST_WEIGHT = 3;
const MS = 1000;
/** Lower bound, so that a readmitted upstream still gets requests. */
const MIN_WARM_UP_FRACTION = 0.2;

/** Estimated time until the candidate finishes the response, ms. */
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
    (fixed + wait + run) /
    Math.max(MIN_WARM_UP_FRACTION, candidate.warmUpFraction)
  );
};

/** Estimated time to read the uncached part of the prompt, ms. */
const prefillMs = (candidate: Candidate, request: RouteRequest): number => {
  const { capacity } = request.service;
  const uncached = Math.max(0, request.promptTokens - candidate.cachedTokens);
  return (uncached / prefillRate(capacity, candidate.role)) * MS;
};

const choiceOf = (
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
 * Picks the lowest expected finish time plus weighted prefill time, with a small
 * jitter. The prefill term accounts for the delay to other requests: an engine
 * that reads an uncached prompt is not available to them.
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
      const cost = PREFILL_COST_WEIGHT * prefillMs(candidate, request);
      const score = (expected + cost) * (1 + JITTER * this.rng());
      if (score >= bestScore) continue;
      best = candidate;
      bestScore = score;
    }
    return choiceOf(best, request, considered);
  }
}

/** Baseline: picks the upstream with the fewest in-flight requests of this entry. */
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
    return choiceOf(best, request, []);
  }
}

/** Baseline: picks the candidates in turn. */
export class RoundRobinPolicy implements RoutingPolicy {
  readonly name = "round-robin";
  private next = 0;

  pick(candidates: Candidate[], request: RouteRequest): Choice | undefined {
    const item = candidates[this.next % Math.max(1, candidates.length)];
    this.next += 1;
    return choiceOf(item, request, []);
  }
}

/** Baseline: picks a candidate at random. */
export class RandomPolicy implements RoutingPolicy {
  readonly name = "random";

  constructor(private readonly rng: Rng) {}

  pick(candidates: Candidate[], request: RouteRequest): Choice | undefined {
    const at = Math.floor(this.rng() * candidates.length);
    return choiceOf(candidates[at], request, []);
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
