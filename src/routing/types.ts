/** Inputs and results of routing decisions. */
import type { Role, Service, Upstream, Urgency } from "../config/index.js";
import type { UpstreamWork } from "./loadModel.js";

export const SIDE_STATES = ["open", "draining", "leaving", "busy"] as const;

/** Whether a side accepts new requests, and if not, why. */
export type SideState = (typeof SIDE_STATES)[number];

/** The load that a side reports in a header of each reply, as JSON. */
export interface LoadReport extends UpstreamWork {
  role: Role;
  state: SideState;
  /** Smoothed time between two output tokens of a stream, ms; 0 if unknown. */
  paceMs: number;
}

/**
 * The part of a request to run: the whole of it, or, where prefill and decode
 * run on separate engines, one of the two.
 */
export type RoutePhase = "whole" | "prefill" | "decode";

/** The properties of a request that routing depends on. */
export interface RouteRequest {
  service: Service;
  phase: RoutePhase;
  urgency: Urgency;
  promptTokens: number;
  outputTokens: number;
  /** Hashes of the prompt's prefixes, shortest first; see `prefixChain`. */
  prefixes: readonly string[];
  /** Time by which the response must be complete, ms. */
  deadlineAt: number;
  /** Ids of upstreams that were already tried for this request. */
  tried: ReadonlySet<string>;
}

/** An upstream that can take the request, with its estimated state. */
export interface Candidate {
  upstream: Upstream;
  work: UpstreamWork;
  role: Role;
  /** Smoothed time between two output tokens of a stream, ms; 0 if unknown. */
  paceMs: number;
  /** In-flight requests of this entry. */
  ownInFlight: number;
  /** Prompt tokens that are probably in the upstream's cache. */
  cachedTokens: number;
  /** Warm-up progress of a readmitted upstream, 0 to 1. */
  warmUpFraction: number;
}

/** The chosen upstream with the estimates behind it, shown by `explain`. */
export interface Choice {
  upstream: Upstream;
  /** Estimated time from now to the end of the response, ms. */
  expectedMs: number;
  cachedTokens: number;
  considered: { id: string; expectedMs: number }[];
}

/** Picks one of the candidates, or undefined if there are none. */
export interface RoutingPolicy {
  readonly name: string;
  pick(candidates: Candidate[], request: RouteRequest): Choice | undefined;
}
