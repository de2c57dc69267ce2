/** Runs a request on an engine and relays the event stream to its end. */
import type { Grant } from "../scheduling/index.js";
import type { EngineCalls, EngineCallsOptions } from "./engineCalls.js";
import { MAX_SHORT_RESPONSE_BYTES } from "./engineCalls.js";
import type { EngineFailureReporter } from "./engineFailureReporter.js";
import type { EngineActivity, EngineWatch } from "./engineWatch.js";
import { canRetry, overdueResult } from "./requestProgress.js";
import type { RequestProgress, RoundResult } from "./requestProgress.js";
import type { PrefillHandle } from "./types.js";
import type { UpstreamReply } from "./upstreamReply.js";
import { readWholeBody } from "./upstreamReply.js";

/**
 * An engine that has not started its response by then is probed, ms. Requests
 * sent to a stalled engine reach it when it resumes, long after their callers
 * have left, so a stall must be detected within a few sends.
 */
const RUN_SLACK_MS = 200;

/** Largest successful response that is no event stream, bytes. */
const MAX_WHOLE_RESPONSE_BYTES = 8 * 1024 * 1024;

export class EngineRun {
  constructor(
    private readonly calls: EngineCalls,
    private readonly watch: EngineWatch,
    private readonly failures: EngineFailureReporter,
    private readonly options: EngineCallsOptions,
  ) {}

  /** `handle`: set where another engine has prefilled the prompt. */
  async run(
    progress: RequestProgress,
    grant: Grant,
    handle: PrefillHandle | undefined,
  ): Promise<RoundResult> {
    const { codec, now } = this.options;
    const { runner } = grant;
    const runnerPrefills = grant.reader === undefined;
    const { caller, relay } = progress;
    progress.runSentAt = now();
    progress.firstEventMs = 0;
    progress.runnerPrefills = runnerPrefills;
    const onNotWorking = (activity: EngineActivity): void => {
      if (activity !== "silent") return;
      this.failures.reportSilent(progress, runner);
      this.calls.reportSilent(caller, runner);
    };
    const watch = this.watch.start(
      caller.service,
      runner,
      RUN_SLACK_MS + (runnerPrefills ? grant.readMs : 0),
      onNotWorking,
    );
    const sent = await this.calls.send(caller, runner, caller.cancellation, {
      deadlineMs: Math.round(caller.leftMs()),
      phase: "run",
      grantedAt: progress.grantedAt,
      handle,
      cacheSource: runnerPrefills
        ? this.calls.addressOf(grant.donor)
        : undefined,
      afterEventId: relay.lastEventId,
    });
    watch.cancel();
    if (sent.kind === "failed") {
      if (sent.verdict !== "not-run") progress.runs += 1;
      if (caller.cancellation.isCancelled)
        return overdueResult(progress, sent.verdict);
      if (sent.isUnavailable === true)
        return this.failures.onRejected(progress, runner, "run", sent.why);
      this.failures.logSendFailure(caller, runner, "run", sent.why);
      return { ...sent, avoid: runner };
    }
    progress.retries?.settle();
    const { head, reply } = sent;
    if (sent.kind === "refused") {
      if (head.isMisdirected)
        return this.failures.onWrongStage(progress, runner);
      const why = `engine refused with ${head.status}`;
      if (this.options.replicas.signals.isUnavailable(runner, now()))
        return this.failures.onRejected(progress, runner, "run", why);
      const isHandleRefused = handle !== undefined;
      const logged = isHandleRefused
        ? `${why}, with a handle of ${grant.reader}`
        : why;
      this.failures.logSendFailure(caller, runner, "run", logged);
      return {
        kind: "failed",
        verdict: "not-run",
        why,
        avoid: runner,
        isHandleRefused,
      };
    }
    progress.runs += 1;
    const isGood = head.status >= 200 && head.status < 300;
    if (!isGood) return this.relayErrorResponse(progress, reply, runner);
    if (!head.isEventStream) return this.relayWhole(progress, reply, runner);
    const headers = codec.responseHeaders(reply.res.rawHeaders);
    caller.startStream(head.status, headers);
    const end = await relay.run(reply);
    const stats = { ...relay.stats() };
    switch (end.kind) {
      case "complete":
        caller.endStream("streamed", stats);
        caller.res.end();
        return { kind: "done" };
      case "caller-gone":
        caller.endStream("caller_gone", stats);
        return { kind: "done" };
      case "cut":
        return this.runFailed(progress, runner, end.why);
    }
  }

  /** Passes on a successful response that is no event stream. */
  private async relayWhole(
    progress: RequestProgress,
    reply: UpstreamReply,
    runner: string,
  ): Promise<RoundResult> {
    const whole = await readWholeBody(reply, MAX_WHOLE_RESPONSE_BYTES);
    if (whole.kind === "whole" && !progress.caller.isResponseStarted)
      return this.respond(progress, reply, whole.body);
    const why = whole.kind === "cut" ? whole.why : "the answer is no stream";
    return this.runFailed(progress, runner, why);
  }

  private runFailed(
    progress: RequestProgress,
    runner: string,
    why: string,
  ): RoundResult {
    const { caller } = progress;
    if (caller.cancellation.isCancelled)
      return overdueResult(progress, "may-have-run");
    this.failures.logSendFailure(caller, runner, "run", why);
    return { kind: "failed", verdict: "may-have-run", why, avoid: runner };
  }

  /**
   * Passes the engine's error response on to the caller, unless a stream has
   * begun or another round is possible.
   */
  private async relayErrorResponse(
    progress: RequestProgress,
    reply: UpstreamReply,
    runner: string,
  ): Promise<RoundResult> {
    const whole = await readWholeBody(reply, MAX_SHORT_RESPONSE_BYTES);
    const isFinal =
      !progress.caller.isResponseStarted &&
      !canRetry({ ...progress, verdict: "may-have-run" });
    if (isFinal && whole.kind === "whole")
      return this.respond(progress, reply, whole.body);
    const why = `engine failed with ${reply.res.statusCode ?? 0}`;
    return { kind: "failed", verdict: "may-have-run", why, avoid: runner };
  }

  /** Responds with an engine's answer that is not relayed event by event. */
  private respond(
    { caller }: RequestProgress,
    { res }: UpstreamReply,
    body: Buffer,
  ): RoundResult {
    const headers = this.options.codec.responseHeaders(res.rawHeaders);
    caller.sendWholeResponse(res.statusCode ?? 0, headers, body);
    return { kind: "done" };
  }
}
