/** Claims: the proof that a never-repeat request runs at most once. */
import type { RequestFailure } from "../shared/errors.js";

/** An answer that is kept so that a repeat of its key gets it again. */
export interface StoredAnswer {
  status: number;
  contentType: string;
  body: string;
}

/** What the caller's request is known by. */
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

/** Claims a key before the run, and keeps the answer after it. */
export interface Claims {
  begin(request: ClaimRequest): Promise<ClaimAnswer>;
  /** The request ran and this is its answer. */
  finish(request: ClaimRequest, answer: StoredAnswer): Promise<void>;
  /** Proved: the request did not run; the key is free again. */
  release(request: ClaimRequest): Promise<void>;
}
