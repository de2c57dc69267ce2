/**
 * Has an engine read the prompt of a request for another engine, and judges
 * whether a read that takes long is still worth the wait.
 */
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Cancellation } from "../shared/cancellation.js";
import type { CallerRequest } from "./callerRequest.js";
import type { EngineCalls, EngineCallsOptions } from "./engineCalls.js";
import { MAX_SHORT_ANSWER_BYTES } from "./engineCalls.js";
import type { EngineMood, EngineWatch } from "./engineWatch.js";
import type { ReadHandle } from "./types.js";
import { readWholeBody } from "./upstreamClient.js";

/** An engine is looked at after this many times the expected time, … */
const READ_PATIENCE = 2;
/** … and this many ms on top, for the hops and the estimate's error. */
const READ_SLACK_MS = 250;
export type ReadOutcome =
  | { kind: "read"; handle: ReadHandle }
  | { kind: "wrong-stage" }
  /** The engine wants no work now. */
  | { kind: "unavailable"; why: string }
  /** The engine does not answer at all. */
  | { kind: "silent" }
  | { kind: "failed"; why: string };

/** What to read, and where. */
export interface ReadOrder {
  reader: string;
  /** Expected time until it is read, ms. */
  expectedMs: number;
  grantedAt: number;
  /** Address of an engine whose cached parts are taken first. */
  cacheSource: string | undefined;
}

export class PromptReader {
  constructor(
    private readonly calls: EngineCalls,
    private readonly watch: EngineWatch,
    private readonly options: EngineCallsOptions,
  ) {}

  /**
   * Ends also when the engine is lost, or has lost the read. One that is
   * merely slow is waited for: cutting it throws away what was read.
   */
  async read(caller: CallerRequest, order: ReadOrder): Promise<ReadOutcome> {
    const { reader, expectedMs } = order;
    const stop = new BoundedCancellation(caller.cancellation, undefined);
    const pauseMs = expectedMs * READ_PATIENCE + READ_SLACK_MS;
    let isSilent = false;
    const onNotWorking = (mood: EngineMood): void => {
      isSilent = mood === "silent";
      stop.cancel();
    };
    const watch = this.watch.start(
      caller.service,
      reader,
      pauseMs,
      onNotWorking,
    );
    try {
      const outcome = await this.exchange(caller, order, stop);
      return isSilent ? { kind: "silent" } : outcome;
    } finally {
      watch.cancel();
      stop.dispose();
    }
  }

  private async exchange(
    caller: CallerRequest,
    { reader, cacheSource, grantedAt }: ReadOrder,
    stop: Cancellation,
  ): Promise<ReadOutcome> {
    const { codec } = this.options;
    const sent = await this.calls.send(caller, reader, stop, {
      deadlineMs: Math.round(caller.leftMs()),
      phase: "read",
      grantedAt,
      cacheSource,
    });
    if (sent.kind === "failed") {
      const kind = sent.isUnavailable === true ? "unavailable" : "failed";
      return { kind, why: sent.why };
    }
    const { res, address } = sent;
    const reply = codec.readReply(res.statusCode ?? 0, res.headers);
    const whole = await readWholeBody(sent, MAX_SHORT_ANSWER_BYTES);
    if (reply.isMisdirected) return { kind: "wrong-stage" };
    if (reply.isNotRun || reply.status !== 200) {
      const why = `read refused with ${reply.status}`;
      const { replicas, now } = this.options;
      const isUnavailable =
        reply.isNotRun && replicas.signals.isUnavailable(reader, now());
      return { kind: isUnavailable ? "unavailable" : "failed", why };
    }
    if (reply.requestId !== undefined && reply.requestId !== caller.head.id) {
      return { kind: "failed", why: "the answer belongs to another request" };
    }
    if (whole.kind === "cut") return { kind: "failed", why: whole.why };
    const handle = codec.readHandle(address, whole.body.toString("utf8"));
    if (handle !== undefined) return { kind: "read", handle };
    return { kind: "failed", why: "the answer names no handle" };
  }
}
