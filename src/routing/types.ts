/** Typed events and answers of the routing decisions. */
import type { Role, Service, Upstream, Urgency } from "../config/index.js";
import type { UpstreamWork } from "./loadModel.js";

export const SIDE_STATES = ["open", "draining", "leaving", "busy"] as const;

/** Whether a side takes new work, and if not, why. */
export type SideState = (typeof SIDE_STATES)[number];

/** The load that a side puts on each of its replies. */
export interface LoadReport extends UpstreamWork {
  role: Role;
  state: SideState;
  /** Time between two tokens of a stream lately, ms; 0 unknown. */
  paceMs: number;
}

/**
 * What of a request is asked for: all of it, or with two kinds of engines
 * its prompt read by one and its output produced by another.
 */
export type RoutePhase = "whole" | "prefill" | "decode";

/** One request as routing sees it. */
export interface RouteRequest {
  service: Service;
  phase: RoutePhase;
  urgency: Urgency;
  promptTokens: number;
  outputTokens: number;
  /** Hashes of the prompt's growing prefixes, shortest first. */
  prefixes: readonly string[];
  /** Instant by which the answer must be whole, ms. */
  deadlineAt: number;
  /** Upstreams that this request has tried already. */
  tried: ReadonlySet<string>;
}

/** One upstream that could take the request, with what is known of it. */
export interface Candidate {
  upstream: Upstream;
  work: UpstreamWork;
  role: Role;
  /** Time between two tokens of a stream lately, ms; 0 unknown. */
  paceMs: number;
  /** Requests of this entry that are in flight there. */
  ownInFlight: number;
  /** Prompt tokens expected in its cache. */
  cachedTokens: number;
  /** 0 to 1: how far a returning upstream has been warmed up. */
  warmUpFraction: number;
}

/** Why a candidate was chosen, for `explain`. */
export interface Choice {
  upstream: Upstream;
  /** Expected time from now to the end of the answer, ms. */
  expectedMs: number;
  cachedTokens: number;
  considered: { id: string; expectedMs: number }[];
}

/** Picks one of a few candidates. */
export interface RoutingPolicy {
  readonly name: string;
  pick(candidates: Candidate[], request: RouteRequest): Choice | undefined;
}
