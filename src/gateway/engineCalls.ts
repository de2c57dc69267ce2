/** Calls to model engines for one request: read, run, free a handle. */
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Cancellation } from "../shared/cancellation.js";
import { errText } from "../shared/utils.js";
import type { Verdict } from "../shared/verdict.js";
import type { Log } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { RequestForm } from "./requestForm.js";
import type { ReadHandle, UpstreamSend } from "./types.js";
import type { UpstreamClient, UpstreamReply } from "./upstreamClient.js";
import { readWholeBody } from "./upstreamClient.js";

/** A handle's answer, or a failure's body, is a few hundred bytes. */
export const MAX_SHORT_ANSWER_BYTES = 16 * 1024;
/** The call that frees a handle is given up after this, ms. */
const FREE_MS = 1000;

/** The head of an answer and where it came from, or what is known instead. */
export type EngineReply =
  | (UpstreamReply & { address: string })
  | { kind: "failed"; verdict: Verdict; why: string };

export type ReadOutcome =
  { kind: "read"; handle: ReadHandle } | { kind: "failed"; why: string };

export interface EngineCallsOptions {
  replicas: ReplicaSet;
  client: UpstreamClient;
  form: RequestForm;
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

  /** Has an engine read a prompt for another. */
  async read(
    caller: CallerRequest,
    reader: string,
    limitMs: number,
    cacheSource: string | undefined,
  ): Promise<ReadOutcome> {
    const { form } = this.options;
    const stop = new BoundedCancellation(caller.cancellation, limitMs);
    try {
      const sent = await this.send(caller, reader, stop, {
        replicaId: reader,
        deadlineMs: Math.round(caller.leftMs()),
        phase: "read",
        cacheSource,
      });
      if (sent.kind === "failed") return { kind: "failed", why: sent.why };
      const { res, address } = sent;
      const reply = form.readReply(res.statusCode ?? 0, res.headers);
      const whole = await readWholeBody(sent, MAX_SHORT_ANSWER_BYTES);
      if (reply.isNotRun || reply.status !== 200) {
        return { kind: "failed", why: `read refused with ${reply.status}` };
      }
      if (reply.requestId !== undefined && reply.requestId !== caller.head.id) {
        return { kind: "failed", why: "the answer belongs to another request" };
      }
      if (whole.kind === "cut") return { kind: "failed", why: whole.why };
      const handle = form.readHandle(address, whole.body.toString("utf8"));
      if (handle !== undefined) return { kind: "read", handle };
      return { kind: "failed", why: "the answer names no handle" };
    } finally {
      stop.dispose();
    }
  }

  /** Sends one phase of a request; resolves with the head of the answer. */
  async send(
    caller: CallerRequest,
    id: string,
    cancellation: Cancellation,
    send: UpstreamSend,
  ): Promise<EngineReply> {
    const { replicas, client, form } = this.options;
    const replica = replicas.get(id);
    if (replica === undefined || replica.state !== "ready") {
      const why = "the replica is leaving or gone";
      return { kind: "failed", verdict: "not-run", why };
    }
    const { head, body } = caller;
    const { address } = replica;
    caller.sentTo.push(id);
    const outcome = await client.send({
      service: caller.service,
      address,
      method: head.method,
      target: head.target,
      headers: form.upstreamHeaders(head, send, body.length),
      body,
      cancellation,
    });
    return outcome.kind === "failed" ? outcome : { ...outcome, address };
  }

  /** Tells the replica that nobody will take the handle. */
  free(service: string, handle: ReadHandle): void {
    const { client, form, log, now } = this.options;
    const begun = now();
    const cancellation = new BoundedCancellation(undefined, FREE_MS);
    void client
      .send({
        service,
        address: handle.address,
        method: "DELETE",
        target: form.freeHandlePath(handle),
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
