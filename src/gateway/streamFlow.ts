/**
 * Requests to model engines: placed by the scheduler, the prompt read by one
 * engine where that pays, the answer streamed from another, and a cut stream
 * resumed where its route allows it.
 */
import type {
  Grant,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
} from "../scheduling/index.js";
import type { Placement } from "../placement/index.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Verdict } from "../shared/verdict.js";
import { worseVerdict } from "../shared/verdict.js";
import type { CallerRequest } from "./callerRequest.js";
import { EngineCalls, MAX_SHORT_ANSWER_BYTES } from "./engineCalls.js";
import type { EngineCallsOptions } from "./engineCalls.js";
import { EngineWatch } from "./engineWatch.js";
import type { EngineMood } from "./engineWatch.js";
import { PromptReader } from "./promptReader.js";
import type { RetryBudgets } from "./retryBudgets.js";
import { StreamRelay } from "./streamRelay.js";
import type { ReadHandle } from "./types.js";
import type { UpstreamReply } from "./upstreamClient.js";
import { readWholeBody } from "./upstreamClient.js";
import { failureOf, overdueFailure, replyFault } from "./verdicts.js";

/** Rounds of placement of one request at the most. */
const MAX_ROUNDS = 4;
/**
 * An engine that has not begun to answer a run by then is looked at, ms. What
 * is sent to one that stands still reaches it when it goes on, long after its
 * callers have left, so that it must be noticed within a few sends.
 */
const RUN_SLACK_MS = 200;
/** Less time than this is not worth another round, ms. */
const LEAST_LEFT_MS = 30;

export interface StreamFlowOptions extends EngineCallsOptions {
  budgets: RetryBudgets;
  placement: Placement;
  zone: string;
}

/** What one round of placement, read and run came to. */
type Round =
  | { kind: "done" }
  | { kind: "refused"; failure: RequestFailure }
  | {
      kind: "failed";
      verdict: Verdict;
      why: string;
      /** Engine to leave out in the next round. */
      avoid: string;
      /** The engine is not to blame. */
      isBlameless?: boolean;
    };

/** What a request carries from round to round. */
interface Journey {
  caller: CallerRequest;
  relay: StreamRelay;
  avoid: string[];
  verdict: Verdict;
  rounds: number;
  /** Replicas that ran it, or may have. */
  runs: number;
  grantId: string;
  runSentAt: number;
  /** From the send to the first event of the round, ms; 0: none yet. */
  firstEventMs: number;
  /** The runner reads a long prompt itself. */
  readsAtRunner: boolean;
}

const endedUnused = (id: string): PlacementEvent => ({
  kind: "ended",
  id,
  ok: true,
  firstEventMs: 0,
});

export class StreamFlow {
  private readonly calls: EngineCalls;
  private readonly watch: EngineWatch;
  private readonly reader: PromptReader;
  private sequence = 0;

  constructor(
    private readonly options: StreamFlowOptions,
    /** Makes grant ids unique among the entries. */
    private readonly entryId: string,
  ) {
    this.calls = new EngineCalls(options);
    this.watch = new EngineWatch(options);
    this.reader = new PromptReader(this.calls, this.watch, options);
  }

  async run(caller: CallerRequest): Promise<void> {
    const { budgets } = this.options;
    const journey = this.begin(caller);
    for (;;) {
      const round = await this.round(journey);
      if (round.kind === "done") return;
      if (round.kind === "refused") return this.giveUp(journey, round.failure);
      journey.verdict = worseVerdict(journey.verdict, round.verdict);
      journey.avoid.push(round.avoid);
      if (caller.isCallerGone) return;
      const failure = failureOf(journey.verdict, round.why);
      if (!this.mayGoOn(journey)) return this.giveUp(journey, failure);
      if (!budgets.spend(caller.service)) return this.giveUp(journey, failure);
    }
  }

  private begin(caller: CallerRequest): Journey {
    const journey: Journey = {
      caller,
      relay: new StreamRelay(caller, () => this.noteBegun(journey)),
      avoid: [],
      verdict: "not-run",
      rounds: 0,
      runs: 0,
      grantId: "",
      runSentAt: 0,
      firstEventMs: 0,
      readsAtRunner: false,
    };
    return journey;
  }

  private mayGoOn(journey: Journey): boolean {
    const { caller, verdict, rounds, runs } = journey;
    if (caller.cancellation.isCancelled || rounds >= MAX_ROUNDS) return false;
    if (caller.leftMs() < LEAST_LEFT_MS) return false;
    if (verdict === "not-run") return true;
    return caller.route.isResumable && runs < caller.route.maxAttempts;
  }

  private async round(journey: Journey): Promise<Round> {
    const { placement } = this.options;
    const { caller } = journey;
    journey.rounds += 1;
    this.sequence += 1;
    journey.grantId = `${this.entryId}/${this.sequence}`;
    const answer = await this.place(journey);
    if (answer === undefined) return this.overdue(journey);
    if (answer.kind === "refused") {
      const failure = failureOf(journey.verdict, `no engine: ${answer.why}`);
      const retryAfterMs = answer.retryAfterMs;
      const isNotRun = failure.verdict === "not-run";
      return {
        kind: "refused",
        failure: isNotRun ? { ...failure, retryAfterMs } : failure,
      };
    }
    this.logGrant(journey, answer);
    let isGood = false;
    try {
      const round = await this.carryOut(journey, answer);
      isGood = round.kind !== "failed" || round.isBlameless === true;
      return round;
    } finally {
      const id = journey.grantId;
      const ok = isGood || caller.isCallerGone;
      const { firstEventMs } = journey;
      const event = { kind: "ended" as const, id, ok, firstEventMs };
      placement.note(caller.service, event);
    }
  }

  /** Where it goes; undefined if it was cancelled before that was known. */
  private place(journey: Journey): Promise<PlacementAnswer | undefined> {
    const { placement } = this.options;
    const { caller, grantId } = journey;
    const { service } = caller;
    return new Promise((resolve, reject) => {
      const off = caller.cancellation.onCancel(() => {
        placement.withdraw(service, grantId);
        resolve(undefined);
      });
      const onAnswer = (answer: PlacementAnswer): void => {
        off();
        resolve(answer);
        if (!caller.cancellation.isCancelled) return;
        const isGranted = answer.kind === "granted";
        if (isGranted) placement.note(service, endedUnused(grantId));
      };
      placement.place(this.ask(journey)).then(onAnswer, reject);
    });
  }

  private async carryOut(journey: Journey, grant: Grant): Promise<Round> {
    const { caller } = journey;
    if (caller.cancellation.isCancelled) return this.overdue(journey);
    let handle: ReadHandle | undefined;
    if (grant.reader !== undefined) {
      const read = await this.readPrompt(journey, grant, grant.reader);
      if (read.kind !== "read") return read;
      handle = read.handle;
    }
    const round = await this.runAt(journey, grant, handle);
    if (round.kind !== "done" && handle !== undefined)
      this.calls.free(caller.service, handle);
    return round;
  }

  private ask(journey: Journey): PlacementAsk {
    const { caller, avoid, grantId } = journey;
    const { prompt } = caller.head;
    const elapsedMs = caller.elapsedMs();
    const objectiveMs = caller.hasBegun
      ? caller.leftMs()
      : caller.route.objectiveMs - elapsedMs;
    const silenceMs = caller.hasBegun
      ? caller.leftMs()
      : caller.route.silenceMs - elapsedMs;
    return {
      id: grantId,
      service: caller.service,
      route: caller.route.name,
      zone: this.options.zone,
      model: prompt?.model ?? "",
      promptTokens: prompt?.promptTokens ?? 0,
      outputTokens: prompt?.outputTokens ?? 0,
      parts: prompt?.parts ?? [],
      objectiveLeftMs: Math.min(objectiveMs, caller.leftMs()),
      deadlineLeftMs: Math.min(silenceMs, caller.leftMs()),
      priority: caller.route.priority,
      isReturn: caller.isReturn,
      avoid,
    };
  }

  private async readPrompt(
    journey: Journey,
    grant: Grant,
    reader: string,
  ): Promise<Round | { kind: "read"; handle: ReadHandle }> {
    const { placement } = this.options;
    const { caller, grantId } = journey;
    const order = {
      reader,
      expectedMs: grant.readMs,
      cacheSource: this.calls.addressOf(grant.donor),
    };
    const read = await this.reader.read(caller, order);
    if (read.kind === "wrong-stage") return this.wrongStage(journey, reader);
    if (read.kind === "silent") return this.silent(journey, reader);
    const ok = read.kind === "read";
    placement.note(caller.service, { kind: "read", id: grantId, ok });
    if (read.kind === "read") {
      if (!caller.cancellation.isCancelled) return read;
      this.calls.free(caller.service, read.handle);
      return this.overdue(journey);
    }
    if (caller.isOverdue) return this.overdue(journey);
    this.logFault(caller, reader, "read", read.why);
    return { kind: "failed", verdict: "not-run", why: read.why, avoid: reader };
  }

  /** The engine says nothing at all: nobody else should wait for it. */
  private silent(journey: Journey, engine: string): Round {
    const { caller, grantId } = journey;
    this.noteSilent(journey, engine);
    const why = "the engine says nothing";
    this.logFault(caller, engine, "read", why);
    const ended = { kind: "read" as const, id: grantId, ok: false };
    this.options.placement.note(caller.service, ended);
    return { kind: "failed", verdict: "not-run", why, avoid: engine };
  }

  private noteSilent({ caller, grantId }: Journey, engine: string): void {
    const news = { kind: "silent" as const, id: grantId, engine };
    this.options.placement.note(caller.service, news);
  }

  /** The engine has changed its stage, or is gone: news, and no failure. */
  private wrongStage(journey: Journey, engine: string): Round {
    const { caller, grantId } = journey;
    const news = { kind: "wrong-stage" as const, id: grantId, engine };
    this.options.placement.note(caller.service, news);
    this.options.replicas.deny(engine, this.options.now());
    const why = "the engine does something else now";
    this.logFault(caller, engine, "place", why);
    return {
      kind: "failed",
      verdict: "not-run",
      why,
      avoid: engine,
      isBlameless: true,
    };
  }

  private async runAt(
    journey: Journey,
    grant: Grant,
    handle: ReadHandle | undefined,
  ): Promise<Round> {
    const { form, now } = this.options;
    const { runner } = grant;
    const readsItself = grant.reader === undefined;
    const { caller, relay } = journey;
    journey.runSentAt = now();
    journey.firstEventMs = 0;
    journey.readsAtRunner = readsItself && grant.readMs > 0;
    const onNotWorking = (mood: EngineMood): void => {
      if (mood === "silent") this.noteSilent(journey, runner);
    };
    const watch = this.watch.start(
      caller.service,
      runner,
      RUN_SLACK_MS + (readsItself ? grant.readMs : 0),
      onNotWorking,
    );
    const sent = await this.calls.send(caller, runner, caller.cancellation, {
      replicaId: runner,
      deadlineMs: Math.round(caller.leftMs()),
      phase: "run",
      handle,
      cacheSource: readsItself ? this.calls.addressOf(grant.donor) : undefined,
      afterEventId: relay.lastEventId,
    });
    watch.cancel();
    if (sent.kind === "failed") {
      if (sent.verdict !== "not-run") journey.runs += 1;
      if (caller.cancellation.isCancelled)
        return this.overdue(journey, sent.verdict);
      this.logFault(caller, runner, "run", sent.why);
      return { ...sent, avoid: runner };
    }
    const { res } = sent;
    const reply = form.readReply(res.statusCode ?? 0, res.headers);
    if (reply.isMisdirected) {
      res.resume();
      return this.wrongStage(journey, runner);
    }
    if (reply.isNotRun) {
      res.resume();
      const why = `engine refused with ${reply.status}`;
      this.logFault(caller, runner, "run", why);
      return { kind: "failed", verdict: "not-run", why, avoid: runner };
    }
    journey.runs += 1;
    const fault = replyFault(reply, caller.head.id);
    if (fault !== undefined) {
      res.destroy();
      this.logFault(caller, runner, "run", fault);
      const verdict = "may-have-run";
      return { kind: "failed", verdict, why: fault, avoid: runner };
    }
    const isGood = reply.status >= 200 && reply.status < 300;
    if (!isGood) return this.answerFailure(journey, sent, runner);
    const headers = form.answerHeaders(res.rawHeaders);
    caller.beginStream(reply.status, headers);
    const end = await relay.run(sent);
    switch (end.kind) {
      case "complete":
        caller.res.end();
        return { kind: "done" };
      case "caller-gone":
        return { kind: "done" };
      case "cut":
        if (caller.cancellation.isCancelled)
          return this.overdue(journey, "may-have-run");
        this.logFault(caller, runner, "run", end.why);
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
    const isFinal = whole.kind === "whole" && !caller.hasBegun;
    if (isFinal && !this.mayGoOn({ ...journey, verdict: "may-have-run" })) {
      const headers = this.options.form.answerHeaders(res.rawHeaders);
      caller.answerWhole(status, headers, whole.body);
      return { kind: "done" };
    }
    return { kind: "failed", verdict: "may-have-run", why, avoid: runner };
  }

  private noteBegun(journey: Journey): void {
    const { caller, grantId } = journey;
    journey.firstEventMs = this.options.now() - journey.runSentAt;
    if (!journey.readsAtRunner) return;
    const event = { kind: "begun" as const, id: grantId };
    this.options.placement.note(caller.service, event);
  }

  private overdue(journey: Journey, verdict: Verdict = "not-run"): Round {
    const worse = worseVerdict(journey.verdict, verdict);
    return { kind: "refused", failure: overdueFailure(worse) };
  }

  private giveUp(journey: Journey, failure: RequestFailure): void {
    if (journey.caller.isCallerGone) return;
    journey.caller.fail(failure);
  }

  private logGrant({ caller, rounds }: Journey, grant: Grant): void {
    this.options.log.info("placed", {
      requestId: caller.head.id,
      reader: grant.reader,
      runner: grant.runner,
      donor: grant.donor,
      expectedReadMs: Math.round(grant.readMs),
      promptTokens: caller.head.prompt?.promptTokens,
      elapsedMs: Math.round(caller.elapsedMs()),
      round: rounds,
    });
  }

  private logFault(
    caller: CallerRequest,
    replica: string,
    phase: string,
    why: string,
  ): void {
    if (caller.isCallerGone) return;
    this.options.log.info("send failed", {
      requestId: caller.head.id,
      replica,
      phase,
      why,
      elapsedMs: Math.round(caller.elapsedMs()),
    });
  }
}
