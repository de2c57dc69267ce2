/** Calls to model engines for one request: read, run, free a handle. */
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Cancellation } from "../shared/cancellation.js";
import { errText } from "../shared/utils.js";
import type { Verdict } from "../shared/verdict.js";
import type { Log } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { QuarantineManager } from "./quarantineManager.js";
import type { ReplicaEndDetector } from "./replicaEndDetector.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { RequestCodec } from "./requestCodec.js";
import type { ReadHandle, UpstreamSend } from "./types.js";
import type { ReplicaClient } from "./replicaClient.js";
import type { UpstreamClient, UpstreamReply } from "./upstreamClient.js";

/** A handle's answer, a report or a failure's body is short, bytes. */
export const MAX_SHORT_ANSWER_BYTES = 16 * 1024;
/** The call that frees a handle is given up after this, ms. */
const FREE_MS = 1000;

/** The head of an answer and where it came from, or what is known instead. */
export type EngineReply =
  | (UpstreamReply & { address: string })
  | {
      kind: "failed";
      verdict: Verdict;
      why: string;
      /** The engine is not to blame. */
      isBlameless?: boolean;
      /** Nothing was sent: the engine wants nothing now. */
      isUnavailable?: boolean;
    };

/**
 * After a pause of this process callers' closes lie unread in the sockets,
 * and timers are behind. One turn of the event loop takes them in, so that
 * nothing is sent for callers that have left.
 */
const settledSockets = (): Promise<void> =>
  new Promise((resolve) => setImmediate(resolve));

const unavailable = (why: string): EngineReply => ({
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
  /** When it was granted, with a permit of the engine. */
  grantedAt: number;
}

export interface EngineCallsOptions {
  replicas: ReplicaSet;
  ends: ReplicaEndDetector;
  quarantine: Pick<QuarantineManager, "refusal">;
  client: ReplicaClient;
  /** For calls to addresses whose replica is not known any more. */
  upstream: UpstreamClient;
  codec: RequestCodec;
  log: Log;
  now: () => number;
}

export class EngineCalls {
  constructor(private readonly options: EngineCallsOptions) {}

  /** Address of an engine; undefined if it is not known (any more). */
  addressOf(id: string | undefined): string | undefined {
    return id === undefined
      ? undefined
      : this.options.replicas.get(id)?.address;
  }

  /** Sends one phase of a request; resolves with the head of the answer. */
  async send(
    caller: CallerRequest,
    id: string,
    cancellation: Cancellation,
    send: EngineSend,
  ): Promise<EngineReply> {
    const { replicas, client, codec } = this.options;
    const replica = replicas.get(id);
    if (replica === undefined) {
      const why = "the replica is gone";
      return { kind: "failed", verdict: "not-run", why };
    }
    await settledSockets();
    const refusal = client.refusal(replica);
    if (refusal !== undefined) return unavailable(refusal);
    if (caller.leftMs() <= 0 || cancellation.isCancelled) {
      return { kind: "failed", verdict: "not-run", why: "its time is over" };
    }
    const barred = this.options.quarantine.refusal(caller);
    if (barred !== undefined) {
      const why = barred.message;
      return { kind: "failed", verdict: "not-run", why, isBlameless: true };
    }
    const { head, body, claim } = caller;
    const { address, name: replicaName } = replica;
    const { grantedAt, ...phase } = send;
    const whole = { ...phase, claim, replicaName };
    caller.sentTo.push(id);
    const outcome = await client.send(replica, {
      purpose: "work",
      requestId: head.id,
      permitAt: grantedAt,
      method: head.method,
      target: head.target,
      headers: codec.upstreamHeaders(head, whole, body.length),
      body,
      cancellation,
    });
    this.options.ends.track(
      caller,
      replica,
      send.phase,
      outcome,
      (res) => codec.readReply(res.statusCode ?? 0, res.headers).isNotRun,
    );
    return outcome.kind === "failed" ? outcome : { ...outcome, address };
  }

  /** An engine answers nothing at all while it has a request. */
  noteSilent(caller: CallerRequest, engine: string): void {
    this.options.ends.onStalled(caller, engine);
  }

  /** Tells the replica that nobody will take the handle. */
  free(service: string, handle: ReadHandle): void {
    const { upstream, codec, log, now } = this.options;
    const begun = now();
    const cancellation = new BoundedCancellation(undefined, FREE_MS);
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
        if (outcome.kind === "reply") outcome.res.resume();
        else {
          const tookMs = Math.round(now() - begun);
          log.debug("handle not freed", { why: outcome.why, tookMs });
        }
      })
      .catch((err) => log.debug("handle not freed", { why: errText(err) }));
  }
}
