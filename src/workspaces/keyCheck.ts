/**
 * Checks a request's key and finds its workspace. Pure. Keys can be added and
 * revoked at any time, also while a process can't reach the store. No process
 * serves a revoked key after the bound, and none rejects a newly added key as
 * unknown while it can't know it yet.
 */
import type { RequestFailure } from "../shared/errors.js";
import { MAX_WATCH_LAG_MS } from "./configFreshness.js";
import type { Keyring, Workspace } from "./keyring.js";

/** Bounds on the age of a process's list of keys, ms. */
export interface KeyBounds {
  /** No process serves a key this long after its revocation; Infinity: no bound. */
  revokeMs: number;
  /** A process that reaches the store has applied any change by then. */
  applyMs: number;
}

/**
 * On whose behalf a request runs. `open`: the configuration has no workspaces,
 * and headers are passed through unchanged; `public`: the route needs no key.
 */
export type CallerIdentity =
  | { kind: "open" }
  | { kind: "public" }
  | { kind: "workspace"; workspace: Workspace };

export interface KeyCheckInput {
  /** Undefined if the configuration has no workspaces. */
  keyring: Keyring | undefined;
  isPublic: boolean;
  /** Digest of the caller's key; undefined if it sent none. */
  digest: string | undefined;
  /** Age of the proof that the configuration is the newest, ms; see `ConfigFreshness`. */
  proofAgeMs: number;
  bounds: KeyBounds;
}

export type KeyCheckResult =
  | { kind: "allowed"; claim: CallerIdentity }
  | { kind: "refused"; failure: RequestFailure };

/**
 * Retry time of a process without a recent proof, ms. Another process probably
 * has one, and the load balancer sends the retry to another process.
 */
const RETRY_ELSEWHERE_MS = 100;

const KEYS_UNPROVEN: RequestFailure = {
  status: 503,
  code: "keys_unproven",
  message: "this process can't prove that its list of keys is new enough",
  verdict: "not-run",
  retryAfterMs: RETRY_ELSEWHERE_MS,
};

const UNAUTHORIZED: RequestFailure = {
  status: 401,
  code: "unauthorized",
  message: "the key is missing or not known",
  verdict: "not-run",
};

/** Maximum age of the proof for serving requests with a key, ms. */
export const maxProofAgeMs = ({ revokeMs }: KeyBounds): number =>
  revokeMs - MAX_WATCH_LAG_MS;

/** Decides whether a request is served, and for which workspace. */
export const checkKey = (input: KeyCheckInput): KeyCheckResult => {
  const { keyring, isPublic, digest, proofAgeMs, bounds } = input;
  if (keyring === undefined) return allowed({ kind: "open" });
  if (isPublic) return allowed({ kind: "public" });
  if (proofAgeMs > maxProofAgeMs(bounds)) return refused(KEYS_UNPROVEN);
  const workspace = keyring.find(digest);
  if (workspace !== undefined) return allowed({ kind: "workspace", workspace });
  return refused(proofAgeMs > bounds.applyMs ? KEYS_UNPROVEN : UNAUTHORIZED);
};

const allowed = (claim: CallerIdentity): KeyCheckResult => ({
  kind: "allowed",
  claim,
});

const refused = (failure: RequestFailure): KeyCheckResult => ({
  kind: "refused",
  failure,
});
