/** Error classes, and the description of a failed request. */
import ModernError from "modern-errors";

import type { Verdict } from "./verdict.js";

/** Base class of all errors that the project throws deliberately. */
export const SnowgateError = ModernError.subclass("SnowgateError");

/** Invalid settings or an invalid configuration document. */
export const InvalidInputError = SnowgateError.subclass("InvalidInputError");

/** The platform's object API did not answer, or refused the call. */
export const StoreError = SnowgateError.subclass("StoreError");

/** The object API closed the connection of a call that waited for its answer. */
export const StoreCutError = StoreError.subclass("StoreCutError");

/** An operator's order that could not be given or carried out. */
export const OrderError = SnowgateError.subclass("OrderError");

/** Why a request failed; the `code` in the error body. */
export type FailureCode =
  | "bad_request"
  | "body_too_large"
  | "unknown_route"
  | "unknown_model"
  | "unauthorized"
  | "keys_unproven"
  | "routes_unproven"
  | "no_configuration"
  | "no_upstream"
  | "overloaded"
  | "deadline"
  | "leaving"
  | "draining"
  | "wrong_upstream"
  | "unreachable"
  | "cut"
  /** Earlier runs of the request ended their replicas. */
  | "quarantined"
  | "crossed"
  | "upstream_error"
  | "store_unavailable"
  | "key_in_use"
  | "key_mismatch"
  | "key_missing"
  | "answer_too_large"
  | "caller_gone";

/** A failed request, as reported to the caller. */
export interface RequestFailure {
  /** HTTP status of the answer. */
  status: number;
  code: FailureCode;
  message: string;
  verdict: Verdict;
  /** Time after which to retry, ms; absent if a retry makes no sense. */
  retryAfterMs?: number;
}
