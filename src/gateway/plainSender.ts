/** One send of a plain request to one replica, and what it tells about it. */
import { LRUCache } from "lru-cache";

import {
  afterFailure,
  afterSuccess,
  HEALTHY,
  isEjected,
} from "../routing/health.js";
import type { Health } from "../routing/health.js";
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Cancellation } from "../shared/cancellation.js";
import type { Verdict } from "../shared/verdict.js";
import type { CallerRequest } from "./callerRequest.js";
import type { ReplicaChoice, SendEnd } from "./replicaChoice.js";
import { hasNotRun } from "./replicaClient.js";
import type { ReplicaClient } from "./replicaClient.js";
import type { ReplicaEndDetector } from "./replicaEndDetector.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { RequestCodec } from "./requestCodec.js";
import type { Replica, ReplyHead } from "./types.js";
import { readWholeBody } from "./upstreamReply.js";

/** Maximum size of a buffered response, bytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Replicas whose health is kept; the least recently used are evicted. */
const MAX_HEALTH_ENTRIES = 4096;
const HTTP_SERVER_ERROR = 500;

export interface PlainSenderOptions {
  replicas: ReplicaSet;
  ends: ReplicaEndDetector;
  client: ReplicaClient;
  codec: RequestCodec;
  now: () => number;
}

export type Attempt =
  | { kind: "answer"; head: ReplyHead; headers: string[]; body: Buffer }
  | { kind: "failed"; verdict: Verdict; why: string; fault: Fault };

/**
 * What a failed send implies about the replica's health; `unavailable` has no
 * effect on it: the replica only accepts no work now.
 */
type Fault = "unreachable" | "gone" | "refused" | "unavailable" | "broken";

export const unavailable = (why: string): Attempt => ({
  kind: "failed",
  verdict: "not-run",
  why,
  fault: "unavailable",
});

/** Whether the replica's own answer is a 5xx. */
export const isServerError = (attempt: Attempt): boolean =>
  attempt.kind === "answer" && attempt.head.status >= HTTP_SERVER_ERROR;

/** What the end of a send tells about the replica's speed. */
const sendEndOf = (attempt: Attempt, cancellation: Cancellation): SendEnd => {
  if (attempt.kind === "answer") {
    return isServerError(attempt) ? "no-sample" : "answered";
  }
  if (attempt.fault === "unavailable") return "no-sample";
  return cancellation.isCancelled ? "abandoned" : "failed";
};

export class PlainSender {
  private readonly health = new LRUCache<string, Health>({
    max: MAX_HEALTH_ENTRIES,
  });

  constructor(
    private readonly options: PlainSenderOptions,
    private readonly choice: ReplicaChoice,
  ) {}

  isEjected(replica: string): boolean {
    return isEjected(this.healthOf(replica), this.options.now());
  }

  /** `cancellation`: of this send, a part of the caller's. */
  async send(
    caller: CallerRequest,
    replica: Replica,
    permitAt: number | undefined,
    cancellation: Cancellation,
  ): Promise<Attempt> {
    const { id } = replica;
    const refusal = this.options.client.refusal(replica);
    if (refusal !== undefined) return unavailable(refusal);
    caller.sentTo.push(id);
    const { now } = this.options;
    const send = this.choice.recordSend(id, now());
    let end: SendEnd = "no-sample";
    try {
      const attempt = await this.exchange(
        caller,
        replica,
        permitAt,
        cancellation,
      );
      end = sendEndOf(attempt, cancellation);
      const hasRun = attempt.kind === "answer" || attempt.verdict !== "not-run";
      if (hasRun) caller.markBegun(now() - send.sentAt);
      // A send that this entry cancelled says nothing about the replica.
      const isOurs =
        cancellation.isCancelled && !caller.cancellation.isCancelled;
      if (!isOurs) this.updateHealth(id, attempt, caller);
      return attempt;
    } finally {
      this.choice.recordEnd(send, end, now());
    }
  }

  private async exchange(
    caller: CallerRequest,
    replica: Replica,
    permitAt: number | undefined,
    parent: Cancellation,
  ): Promise<Attempt> {
    const { client, codec } = this.options;
    const { head, body, route, claim } = caller;
    // A safe request that misses its objective here is retried elsewhere.
    const mayRetryElsewhere = route.kind === "safe" && route.maxAttempts > 1;
    const cancellation = new BoundedCancellation(
      parent,
      mayRetryElsewhere ? route.objectiveMs : undefined,
    );
    const send = {
      replicaName: replica.name,
      claim,
      deadlineMs: Math.round(caller.leftMs()),
      phase: "run" as const,
    };
    try {
      const outcome = await client.send(replica, {
        purpose: "work",
        requestId: head.id,
        mustBeSigned: true,
        permitAt,
        method: head.method,
        target: head.target,
        headers: codec.upstreamHeaders(head, send, body.length),
        body,
        cancellation,
      });
      if (hasNotRun(outcome)) caller.recordNotRun();
      this.options.ends.track(caller, replica, "run", outcome, parent);
      if (outcome.kind === "failed") {
        if (outcome.isUnavailable === true) return unavailable(outcome.why);
        const isSent = outcome.verdict !== "not-run";
        return { ...outcome, fault: isSent ? "broken" : "unreachable" };
      }
      const { head: replyHead, reply } = outcome;
      if (outcome.kind === "refused") {
        const why = `replica refused with ${replyHead.status}`;
        const fault = this.faultOf(replica, replyHead);
        return { kind: "failed", verdict: "not-run", why, fault };
      }
      const whole = await readWholeBody(reply, MAX_RESPONSE_BYTES);
      if (whole.kind === "cut") {
        return {
          kind: "failed",
          verdict: "may-have-run",
          why: whole.why,
          fault: "broken",
        };
      }
      const headers = codec.responseHeaders(reply.res.rawHeaders);
      return { kind: "answer", head: replyHead, headers, body: whole.body };
    } finally {
      cancellation.dispose();
    }
  }

  private faultOf({ id }: Replica, reply: ReplyHead): Fault {
    if (reply.isMisdirected) return "gone";
    const { replicas, now } = this.options;
    return replicas.signals.isUnavailable(id, now())
      ? "unavailable"
      : "refused";
  }

  private updateHealth(
    id: string,
    attempt: Attempt,
    caller: CallerRequest,
  ): void {
    if (caller.isCallerGone) return;
    if (attempt.kind === "failed" && attempt.fault === "unavailable") return;
    const now = this.options.now();
    const health = this.healthOf(id);
    if (attempt.kind === "answer") {
      this.health.set(id, afterSuccess(health, now));
      return;
    }
    if (attempt.fault === "gone")
      this.options.replicas.markMisdirected(id, now);
    const isUnreachable =
      attempt.fault === "unreachable" || attempt.fault === "gone";
    const next = afterFailure(health, now, isUnreachable);
    this.health.set(id, next);
  }

  private healthOf(id: string): Health {
    return this.health.get(id) ?? HEALTHY;
  }
}
