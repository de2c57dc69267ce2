/** Calls to model engines for a request: prefill, run, release a KV handle. */
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Cancellation } from "../shared/cancellation.js";
import { errText, nextEventLoopTurn } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { QuarantineManager } from "./quarantineManager.js";
import type { ReplicaEndDetector } from "./replicaEndDetector.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { RequestCodec } from "./requestCodec.js";
import type { PrefillHandle, UpstreamSend } from "./types.js";
import { hasNotRun } from "./replicaClient.js";
import type { ReplicaClient, ReplicaOutcome } from "./replicaClient.js";
import type { SendFailure, UpstreamClient } from "./upstreamClient.js";

/** Limit for handle responses, engine reports and error bodies, bytes. */
export const MAX_SHORT_RESPONSE_BYTES = 16 * 1024;
/** Timeout of the call that releases a KV handle, ms. */
const RELEASE_TIMEOUT_MS = 1000;

export type EngineOutcome =
  | Exclude<ReplicaOutcome, SendFailure>
  | (SendFailure & {
      /** Set if the failure is not a fault of the engine. */
      isNotEngineFault?: boolean;
    });

const unavailable = (why: string): SendFailure => ({
  kind: "failed",
  verdict: "not-run",
  why,
  isUnavailable: true,
});

/** One phase of a request at an engine. */
export interface EngineSend extends Omit<
  UpstreamSend,
  "claim" | "replicaName"
> {
  /** When the engine was granted, together with its rate permit, ms. */
  grantedAt: number;
}

export interface EngineCallsOptions {
  replicas: ReplicaSet;
  ends: ReplicaEndDetector;
  quarantine: Pick<QuarantineManager, "refusal">;
  client: ReplicaClient;
  /** For calls to addresses whose replica is no longer known. */
  upstream: UpstreamClient;
  codec: RequestCodec;
  log: Log;
  now: () => number;
}

export class EngineCalls {
  constructor(private readonly options: EngineCallsOptions) {}

  /** Address of an engine; undefined if the engine is not known. */
  addressOf(id: string | undefined): string | undefined {
    return id === undefined
      ? undefined
      : this.options.replicas.get(id)?.address;
  }

  /** Sends one phase of a request; resolves with the judged reply. */
  async send(
    caller: CallerRequest,
    id: string,
    cancellation: Cancellation,
    send: EngineSend,
  ): Promise<EngineOutcome> {
    const { replicas, client, codec } = this.options;
    const replica = replicas.get(id);
    if (replica === undefined) {
      const why = "the replica is gone";
      return { kind: "failed", verdict: "not-run", why };
    }
    // Nothing is sent on behalf of callers whose close is still unread.
    await nextEventLoopTurn();
    const refusal = client.refusal(replica);
    if (refusal !== undefined) return unavailable(refusal);
    if (caller.leftMs() <= 0 || cancellation.isCancelled) {
      return {
        kind: "failed",
        verdict: "not-run",
        why: "its time is over",
      };
    }
    const quarantineRefusal = this.options.quarantine.refusal(caller);
    if (quarantineRefusal !== undefined) {
      const why = quarantineRefusal.message;
      return {
        kind: "failed",
        verdict: "not-run",
        why,
        isNotEngineFault: true,
      };
    }
    const { head, body, claim } = caller;
    const { name: replicaName } = replica;
    const { grantedAt, ...phase } = send;
    const fullSend = { ...phase, claim, replicaName };
    caller.sentTo.push(id);
    const outcome = await client.send(replica, {
      purpose: "work",
      requestId: head.id,
      // The reply to a prefill is for this process alone and has no signature.
      mustBeSigned: send.phase === "run",
      permitAt: grantedAt,
      method: head.method,
      target: head.target,
      headers: codec.upstreamHeaders(head, fullSend, body.length),
      body,
      cancellation,
      onWritten: () => caller.onWritten(),
    });
    if (hasNotRun(outcome)) caller.recordNotRun();
    this.options.ends.track(caller, replica, send.phase, outcome);
    return outcome;
  }

  /** Reports an engine that stopped responding while it has a request. */
  reportSilent(caller: CallerRequest, engine: string): void {
    this.options.ends.onStalled(caller, engine);
  }

  /** Tells the replica that its KV handle will not be used. */
  releaseHandle(service: string, handle: PrefillHandle): void {
    const { upstream, codec, log, now } = this.options;
    const begun = now();
    const cancellation = new BoundedCancellation(undefined, RELEASE_TIMEOUT_MS);
    void upstream
      .send({
        service,
        address: handle.address,
        method: "DELETE",
        target: codec.freeHandlePath(handle),
        headers: ["Host", handle.address, "Content-Length", "0"],
        body: Buffer.alloc(0),
        cancellation,
      })
      .then((outcome) => {
        cancellation.dispose();
        if (outcome.kind === "reply") outcome.discard();
        else {
          const tookMs = Math.round(now() - begun);
          log.debug("KV handle release failed", { why: outcome.why, tookMs });
        }
      })
      .catch((err) =>
        log.debug("KV handle release failed", { why: errText(err) }),
      );
  }
}
