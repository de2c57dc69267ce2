/**
 * Has one engine prefill the prompt of a request for another engine, and stops
 * waiting when that engine is found not to be working.
 */
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Cancellation } from "../shared/cancellation.js";
import type { CallerRequest } from "./callerRequest.js";
import type { EngineCalls, EngineCallsOptions } from "./engineCalls.js";
import { MAX_SHORT_RESPONSE_BYTES } from "./engineCalls.js";
import type { EngineActivity, EngineWatch } from "./engineWatch.js";
import type { PrefillHandle } from "./types.js";
import { readWholeBody } from "./upstreamReply.js";

/**
 * An engine is first probed after this many times the expected time plus
 * `PREFILL_SLACK_MS`.
 */
const PREFILL_PROBE_FACTOR = 2;
/** Allows for network hops and the error of the estimate, ms. */
const PREFILL_SLACK_MS = 250;
const HTTP_OK = 200;

export type PrefillOutcome =
  | { kind: "read"; handle: PrefillHandle }
  | { kind: "wrong-stage" }
  /** The engine accepts no work for now. */
  | { kind: "unavailable"; why: string }
  /** The engine does not respond to probes. */
  | { kind: "silent" }
  | { kind: "failed"; why: string };

/** Where a prompt is to be prefilled, and with what expectations. */
export interface PrefillRequest {
  reader: string;
  /** Expected time to the end of the prefill, ms. */
  expectedMs: number;
  grantedAt: number;
  /** Address of an engine to fetch cached prompt parts from first. */
  cacheSource: string | undefined;
}

export class PromptPrefiller {
  constructor(
    private readonly calls: EngineCalls,
    private readonly watch: EngineWatch,
    private readonly options: EngineCallsOptions,
  ) {}

  /**
   * Resolves early if the engine is lost or has lost the request. A slow
   * engine is waited for, because cancelling discards its finished work.
   */
  async prefill(
    caller: CallerRequest,
    request: PrefillRequest,
  ): Promise<PrefillOutcome> {
    const { reader, expectedMs } = request;
    const stop = new BoundedCancellation(caller.cancellation, undefined);
    const intervalMs = expectedMs * PREFILL_PROBE_FACTOR + PREFILL_SLACK_MS;
    let isSilent = false;
    const onNotWorking = (activity: EngineActivity): void => {
      isSilent = activity === "silent";
      stop.cancel();
    };
    const watch = this.watch.start(
      caller.service,
      reader,
      intervalMs,
      onNotWorking,
    );
    try {
      const outcome = await this.sendPrefill(caller, request, stop);
      return isSilent ? { kind: "silent" } : outcome;
    } finally {
      watch.cancel();
      stop.dispose();
    }
  }

  private async sendPrefill(
    caller: CallerRequest,
    { reader, cacheSource, grantedAt }: PrefillRequest,
    stop: Cancellation,
  ): Promise<PrefillOutcome> {
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
    const { head, reply } = sent;
    if (sent.kind === "refused") {
      if (head.isMisdirected) return { kind: "wrong-stage" };
      const why = `read refused with ${head.status}`;
      const { replicas, now } = this.options;
      const isUnavailable = replicas.signals.isUnavailable(reader, now());
      return { kind: isUnavailable ? "unavailable" : "failed", why };
    }
    const whole = await readWholeBody(reply, MAX_SHORT_RESPONSE_BYTES);
    if (head.status !== HTTP_OK)
      return { kind: "failed", why: `read failed with ${head.status}` };
    if (whole.kind === "cut") return { kind: "failed", why: whole.why };
    const handle = codec.readHandle(reply.address, whole.body.toString("utf8"));
    if (handle !== undefined) return { kind: "read", handle };
    return { kind: "failed", why: "the answer names no handle" };
  }
}
