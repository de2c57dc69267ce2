/** One run of a request at an engine, up to the end of its stream. */
import type { Grant } from "../scheduling/index.js";
import type { EngineCalls, EngineCallsOptions } from "./engineCalls.js";
import { MAX_SHORT_ANSWER_BYTES } from "./engineCalls.js";
import type { EngineFailureReporter } from "./engineFailureReporter.js";
import type { EngineActivity, EngineWatch } from "./engineWatch.js";
import { canRetry, overdueResult } from "./requestProgress.js";
import type { RequestProgress, RoundResult } from "./requestProgress.js";
import type { KvHandle } from "./types.js";
import type { UpstreamReply } from "./upstreamClient.js";
import { readWholeBody } from "./upstreamClient.js";
import { replyFault } from "./verdicts.js";

/**
 * An engine that has not begun to answer a run by then is looked at, ms. What
 * is sent to one that stands still reaches it when it goes on, long after its
 * callers have left, so that it must be noticed within a few sends.
 */
const RUN_SLACK_MS = 200;
export class EngineRun {
  constructor(
    private readonly calls: EngineCalls,
    private readonly watch: EngineWatch,
    private readonly news: EngineFailureReporter,
    private readonly options: EngineCallsOptions,
  ) {}

  /** `handle`: of its prompt, where another engine has read it. */
  async run(
    journey: RequestProgress,
    grant: Grant,
    handle: KvHandle | undefined,
  ): Promise<RoundResult> {
    const { form, now } = this.options;
    const { runner } = grant;
    const readsItself = grant.reader === undefined;
    const { caller, relay } = journey;
    journey.runSentAt = now();
    journey.firstEventMs = 0;
    journey.readsAtRunner = readsItself;
    const onNotWorking = (mood: EngineActivity): void => {
      if (mood !== "silent") return;
      this.news.reportSilent(journey, runner);
      this.calls.reportSilent(caller, runner);
    };
    const watch = this.watch.start(
      caller.service,
      runner,
      RUN_SLACK_MS + (readsItself ? grant.readMs : 0),
      onNotWorking,
    );
    const sent = await this.calls.send(caller, runner, caller.cancellation, {
      deadlineMs: Math.round(caller.leftMs()),
      phase: "run",
      grantedAt: journey.grantedAt,
      handle,
      cacheSource: readsItself ? this.calls.addressOf(grant.donor) : undefined,
      afterEventId: relay.lastEventId,
    });
    watch.cancel();
    if (sent.kind === "failed") {
      if (sent.verdict !== "not-run") journey.runs += 1;
      if (caller.cancellation.isCancelled)
        return overdueResult(journey, sent.verdict);
      if (sent.isUnavailable === true)
        return this.news.onRejected(journey, runner, "run", sent.why);
      this.news.logSendFailure(caller, runner, "run", sent.why);
      return { ...sent, avoid: runner };
    }
    const { res } = sent;
    const reply = form.readReply(res.statusCode ?? 0, res.headers);
    if (reply.isMisdirected) {
      res.resume();
      return this.news.onWrongStage(journey, runner);
    }
    if (reply.isNotRun) {
      res.resume();
      const why = `engine refused with ${reply.status}`;
      if (this.options.replicas.signals.isUnavailable(runner, now()))
        return this.news.onRejected(journey, runner, "run", why);
      this.news.logSendFailure(caller, runner, "run", why);
      return { kind: "failed", verdict: "not-run", why, avoid: runner };
    }
    journey.runs += 1;
    const fault = replyFault(reply, caller.head.id);
    if (fault !== undefined) {
      res.destroy();
      this.news.logSendFailure(caller, runner, "run", fault);
      const verdict = "may-have-run";
      return { kind: "failed", verdict, why: fault, avoid: runner };
    }
    const isGood = reply.status >= 200 && reply.status < 300;
    if (!isGood) return this.answerFailure(journey, sent, runner);
    const headers = form.answerHeaders(res.rawHeaders);
    caller.beginStream(reply.status, headers);
    const end = await relay.run(sent);
    const figures = { ...relay.stats() };
    switch (end.kind) {
      case "complete":
        caller.endStream("streamed", figures);
        caller.res.end();
        return { kind: "done" };
      case "caller-gone":
        caller.endStream("caller_gone", figures);
        return { kind: "done" };
      case "cut":
        if (caller.cancellation.isCancelled)
          return overdueResult(journey, "may-have-run");
        this.news.logSendFailure(caller, runner, "run", end.why);
        return {
          kind: "failed",
          verdict: "may-have-run",
          why: end.why,
          avoid: runner,
        };
    }
  }

  /** A replica's own failure is passed on, unless a stream has begun. */
  private async answerFailure(
    journey: RequestProgress,
    sent: UpstreamReply,
    runner: string,
  ): Promise<RoundResult> {
    const { caller } = journey;
    const { res } = sent;
    const whole = await readWholeBody(sent, MAX_SHORT_ANSWER_BYTES);
    const status = res.statusCode ?? 0;
    const why = `engine failed with ${status}`;
    const isFinal = whole.kind === "whole" && !caller.hasBegun;
    if (isFinal && !canRetry({ ...journey, verdict: "may-have-run" })) {
      const headers = this.options.form.answerHeaders(res.rawHeaders);
      caller.answerWhole(status, headers, whole.body);
      return { kind: "done" };
    }
    return { kind: "failed", verdict: "may-have-run", why, avoid: runner };
  }
}
