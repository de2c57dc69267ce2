/**
 * Whether a request may be served by its key, and as which workspace. Pure.
 * Load that it answers: keys are added and taken away at any moment, also
 * while a process lacks the store. A key that was taken away runs nowhere
 * after the bound; one that was just added is not called unknown by a
 * process that can't know it yet.
 */
import type { RequestFailure } from "../shared/errors.js";
import { MAX_WATCH_LAG_MS } from "./configFreshness.js";
import type { Keyring, Workspace } from "./keyring.js";

/** Bounds on how old a process's knowledge of keys may be, ms. */
export interface KeyBounds {
  /** A key that was taken away runs nowhere after this; Infinity: no bound. */
  revokeMs: number;
  /** A process in touch with the store knows each change by then. */
  applyMs: number;
}

/**
 * For whom a request runs. `open`: the configuration has no workspaces, and
 * heads pass as they are; `public`: its route needs no key.
 */
export type CallerIdentity =
  | { kind: "open" }
  | { kind: "public" }
  | { kind: "workspace"; workspace: Workspace };

export interface KeyCheckInput {
  /** Undefined where the configuration has no workspaces. */
  keyring: Keyring | undefined;
  isPublic: boolean;
  /** Digest of the caller's key; undefined: it sent none. */
  digest: string | undefined;
  /** Age of the proof that the configuration is the newest, ms. */
  proofAgeMs: number;
  bounds: KeyBounds;
}

export type KeyCheckResult =
  | { kind: "allowed"; claim: CallerIdentity }
  | { kind: "refused"; failure: RequestFailure };

/**
 * Another process is likely to have the proof that this one lacks, and the
 * balancer sends a caller that comes back elsewhere, ms.
 */
const ELSEWHERE_MS = 100;

const STALE: RequestFailure = {
  status: 503,
  code: "keys_unproven",
  message: "this process can't prove that its list of keys is new enough",
  verdict: "not-run",
  retryAfterMs: ELSEWHERE_MS,
};

const UNKNOWN: RequestFailure = {
  status: 401,
  code: "unauthorized",
  message: "the key is missing or not known",
  verdict: "not-run",
};

/** Oldest proof by which keyed requests are served, ms. */
export const maxProofAgeMs = ({ revokeMs }: KeyBounds): number =>
  revokeMs - MAX_WATCH_LAG_MS;

export const checkKey = (ask: KeyCheckInput): KeyCheckResult => {
  const { keyring, isPublic, digest, proofAgeMs, bounds } = ask;
  if (keyring === undefined) return allowed({ kind: "open" });
  if (isPublic) return allowed({ kind: "public" });
  if (proofAgeMs > maxProofAgeMs(bounds)) return refused(STALE);
  const workspace = keyring.find(digest);
  if (workspace !== undefined) return allowed({ kind: "workspace", workspace });
  return refused(proofAgeMs > bounds.applyMs ? STALE : UNKNOWN);
};

const allowed = (claim: CallerIdentity): KeyCheckResult => ({
  kind: "allowed",
  claim,
});

const refused = (failure: RequestFailure): KeyCheckResult => ({
  kind: "refused",
  failure,
});
