/**
 * Rules for one shard of claims, as pure functions over the stored value. A key
 * is claimed by one request; only that request may finish or release it.
 */
import type { ClaimAnswer, ClaimRequest, StoredAnswer } from "./types.js";

/** A claimed idempotency key. */
export interface Claim {
  requestId: string;
  print: string;
  /** When it was claimed, ms since 1970. */
  at: number;
  answer?: StoredAnswer;
  /** The request ran, but its answer is too large to be stored. */
  ran?: boolean;
}

/** The stored value of a shard. */
export interface ClaimTable {
  claims: Record<string, Claim>;
}

export const EMPTY_CLAIMS: ClaimTable = { claims: {} };

/** Maximum size of a shard, bytes; the object API accepts a megabyte. */
export const MAX_SHARD_BYTES = 900_000;
const RETRY_IN_USE_MS = 1000;

export type ClaimEvent =
  | { kind: "begin"; request: ClaimRequest }
  /** `answer` is absent if it is too large to be stored. */
  | { kind: "finish"; request: ClaimRequest; answer?: StoredAnswer }
  | { kind: "release"; request: ClaimRequest };

const inUse = (): ClaimAnswer => ({
  kind: "refused",
  failure: {
    status: 409,
    code: "key_in_use",
    message:
      "another request holds this idempotency key; it may have run and " +
      "its answer is not known yet",
    verdict: "may-have-run",
    retryAfterMs: RETRY_IN_USE_MS,
  },
});

const answerNotStored = (): ClaimAnswer => ({
  kind: "refused",
  failure: {
    status: 409,
    code: "answer_too_large",
    message: "this request ran; its answer is too large to be kept",
    verdict: "ran",
  },
});

const mismatch = (): ClaimAnswer => ({
  kind: "refused",
  failure: {
    status: 422,
    code: "key_mismatch",
    message: "this idempotency key belongs to a different request",
    verdict: "not-run",
  },
});

/** The result of a `begin` event on this table. */
export const evaluateClaim = (
  table: ClaimTable,
  request: ClaimRequest,
): ClaimAnswer => {
  const claim = table.claims[request.key];
  if (claim === undefined) return { kind: "run" };
  if (claim.print !== request.print) return mismatch();
  if (claim.answer !== undefined) {
    return { kind: "replay", answer: claim.answer };
  }
  if (claim.ran === true) return answerNotStored();
  if (claim.requestId === request.requestId) return { kind: "run" };
  return inUse();
};

/**
 * The table after one event. Idempotent: applying an event twice has no further
 * effect.
 */
export const applyClaimEvent = (
  table: ClaimTable,
  event: ClaimEvent,
  now: number,
): ClaimTable => {
  const { key, print, requestId } = event.request;
  const held = table.claims[key];
  switch (event.kind) {
    case "begin": {
      if (held !== undefined) return table;
      const claim: Claim = { requestId, print, at: now };
      return { claims: { ...table.claims, [key]: claim } };
    }
    case "finish": {
      if (held?.requestId !== requestId || held.ran) return table;
      const claim: Claim = { ...held, ran: true };
      if (event.answer !== undefined) claim.answer = event.answer;
      return { claims: { ...table.claims, [key]: claim } };
    }
    case "release": {
      if (held?.requestId !== requestId || held.ran) return table;
      const { [key]: _released, ...rest } = table.claims;
      void _released;
      return { claims: rest };
    }
  }
};

/** Drops claims older than `keepMs`. */
export const pruneClaims = (
  table: ClaimTable,
  now: number,
  keepMs: number,
): ClaimTable => {
  const entries = Object.entries(table.claims);
  const kept = entries.filter(([, claim]) => now - claim.at < keepMs);
  if (kept.length === entries.length) return table;
  return { claims: Object.fromEntries(kept) };
};
