/** One run of a request at an engine, up to the end of its stream. */
import type { Grant } from "../scheduling/index.js";
import type { EngineCalls, EngineCallsOptions } from "./engineCalls.js";
import { MAX_SHORT_ANSWER_BYTES } from "./engineCalls.js";
import type { EngineNews } from "./engineNews.js";
import type { EngineMood, EngineWatch } from "./engineWatch.js";
import { mayGoOn, overdueRound } from "./journey.js";
import type { Journey, Round } from "./journey.js";
import type { ReadHandle } from "./types.js";
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
    private readonly news: EngineNews,
    private readonly options: EngineCallsOptions,
  ) {}

  /** `handle`: of its prompt, where another engine has read it. */
  async run(
    journey: Journey,
    grant: Grant,
    handle: ReadHandle | undefined,
  ): Promise<Round> {
    const { codec, now } = this.options;
    const { runner } = grant;
    const readsItself = grant.reader === undefined;
    const { caller, relay } = journey;
    journey.runSentAt = now();
    journey.firstEventMs = 0;
    journey.readsAtRunner = readsItself;
    const onNotWorking = (mood: EngineMood): void => {
      if (mood !== "silent") return;
      this.news.noteSilent(journey, runner);
      this.calls.noteSilent(caller, runner);
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
        return overdueRound(journey, sent.verdict);
      if (sent.isUnavailable === true)
        return this.news.rejected(journey, runner, "run", sent.why);
      this.news.logFault(caller, runner, "run", sent.why);
      return { ...sent, avoid: runner };
    }
    const { res } = sent;
    const reply = codec.readReply(res.statusCode ?? 0, res.headers);
    if (reply.isMisdirected) {
      res.resume();
      return this.news.wrongStage(journey, runner);
    }
    if (reply.isNotRun) {
      res.resume();
      const why = `engine refused with ${reply.status}`;
      if (this.options.replicas.signals.isUnavailable(runner, now()))
        return this.news.rejected(journey, runner, "run", why);
      this.news.logFault(caller, runner, "run", why);
      return { kind: "failed", verdict: "not-run", why, avoid: runner };
    }
    journey.runs += 1;
    const fault = replyFault(reply, caller.head.id);
    if (fault !== undefined) {
      res.destroy();
      this.news.logFault(caller, runner, "run", fault);
      const verdict = "may-have-run";
      return { kind: "failed", verdict, why: fault, avoid: runner };
    }
    const isGood = reply.status >= 200 && reply.status < 300;
    if (!isGood) return this.answerFailure(journey, sent, runner);
    const headers = codec.answerHeaders(res.rawHeaders);
    caller.startStream(reply.status, headers);
    const end = await relay.run(sent);
    const figures = { ...relay.figures() };
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
          return overdueRound(journey, "may-have-run");
        this.news.logFault(caller, runner, "run", end.why);
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
    journey: Journey,
    sent: UpstreamReply,
    runner: string,
  ): Promise<Round> {
    const { caller } = journey;
    const { res } = sent;
    const whole = await readWholeBody(sent, MAX_SHORT_ANSWER_BYTES);
    const status = res.statusCode ?? 0;
    const why = `engine failed with ${status}`;
    const isFinal = whole.kind === "whole" && !caller.isResponseStarted;
    if (isFinal && !mayGoOn({ ...journey, verdict: "may-have-run" })) {
      const headers = this.options.codec.answerHeaders(res.rawHeaders);
      caller.answerWhole(status, headers, whole.body);
      return { kind: "done" };
    }
    return { kind: "failed", verdict: "may-have-run", why, avoid: runner };
  }
}
