/** The error classes of the project and the failure of a request. */
import ModernError from "modern-errors";

import type { Verdict } from "./verdict.js";

/** Base of every error that the project raises on purpose. */
export const SnowgateError = ModernError.subclass("SnowgateError");

/** Settings or a configuration document that can't be accepted. */
export const InvalidInputError = SnowgateError.subclass("InvalidInputError");

/** The platform's object API did not answer, or refused the call. */
export const StoreError = SnowgateError.subclass("StoreError");

/** An operator's order that can't be carried out. */
export const OrderError = SnowgateError.subclass("OrderError");

/** Why a request failed; the `code` of the typed error body. */
export type FailureCode =
  | "bad_request"
  | "body_too_large"
  | "unknown_route"
  | "unknown_model"
  | "unauthorized"
  | "keys_unproven"
  | "no_configuration"
  | "no_upstream"
  | "overloaded"
  | "deadline"
  | "leaving"
  | "draining"
  | "wrong_upstream"
  | "unreachable"
  | "cut"
  /** Replicas that ran it have ended. */
  | "quarantined"
  | "crossed"
  | "upstream_error"
  | "store_unavailable"
  | "key_in_use"
  | "key_mismatch"
  | "key_missing"
  | "answer_too_large"
  | "caller_gone";

/** A failed request, as told to the caller. */
export interface RequestFailure {
  /** HTTP status of the answer. */
  status: number;
  code: FailureCode;
  message: string;
  verdict: Verdict;
  /** When a later try makes sense, in ms; absent if it never does. */
  retryAfterMs?: number;
}
