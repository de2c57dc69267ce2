/**
 * Claims guarantee that a request that must not be repeated runs at most once.
 */
import type { RequestFailure } from "../shared/errors.js";

/** A stored answer, replayed when its key is sent again. */
export interface StoredAnswer {
  status: number;
  contentType: string;
  body: string;
}

/** Identifies the caller's request. */
export interface ClaimRequest {
  service: string;
  /** The caller's idempotency key. */
  key: string;
  /** Fingerprint of method, path and body. */
  print: string;
  /** Unique id of this request. */
  requestId: string;
}

export type ClaimAnswer =
  | { kind: "run" }
  | { kind: "replay"; answer: StoredAnswer }
  | { kind: "refused"; failure: RequestFailure };

/** Claims a key before the request runs, and stores the answer afterwards. */
export interface Claims {
  begin(request: ClaimRequest): Promise<ClaimAnswer>;
  /** The request ran with this answer. */
  finish(request: ClaimRequest, answer: StoredAnswer): Promise<void>;
  /** Frees the key; call only if the request is proven not to have run. */
  release(request: ClaimRequest): Promise<void>;
}
