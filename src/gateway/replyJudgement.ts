/**
 * Judges the head of a reply, for every kind of send: whether it belongs to the
 * request that it came for, and what it proves.
 */
import type { ReplyHead } from "./types.js";

/** What the reply to a send must look like. */
export interface ReplyExpectation {
  /** Id that was sent; undefined for calls that carry none. */
  requestId: string | undefined;
  /** Whether a success must bear the replica's signature. */
  mustBeSigned: boolean;
}

export type ReplyJudgement =
  /** The request's own answer, whatever its status. */
  | { kind: "own" }
  /** Proof that the replica did not run the request. */
  | { kind: "refused" }
  /** Proves nothing: the request may have run. Nothing else on its connection can be trusted. */
  | { kind: "unusable"; why: string };

const unusable = (why: string): ReplyJudgement => ({ kind: "unusable", why });

/** Whether it is the reply of the request that it came for. */
export const isOwnReply = (
  reply: ReplyHead,
  { requestId }: Pick<ReplyExpectation, "requestId">,
): boolean => reply.requestId === requestId;

export const judgeReply = (
  reply: ReplyHead,
  expected: ReplyExpectation,
): ReplyJudgement => {
  // Before all else: any other part of a foreign reply speaks of another request.
  if (!isOwnReply(reply, expected))
    return unusable(
      reply.requestId === undefined
        ? "the answer names no request"
        : "the answer belongs to another request",
    );
  if (reply.isNotRun) return { kind: "refused" };
  if (expected.requestId === undefined) return { kind: "own" };
  const isSuccess = reply.status >= 200 && reply.status < 300;
  if (isSuccess && expected.mustBeSigned && !reply.isSigned)
    return unusable("the answer is not signed");
  if (reply.isEncoded) return unusable("the body is encoded");
  if (reply.statusMeansNotRun)
    return unusable(`status ${reply.status} without proof that nothing ran`);
  return { kind: "own" };
};
