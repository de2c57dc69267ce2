/**
 * Requests to model engines: placed by the scheduler, the prompt read by one
 * engine where that pays, the answer streamed from another, and a cut stream
 * resumed where its route allows it.
 */
import type {
  Grant,
  PlacementAnswer,
  PlacementEvent,
  Refusal,
} from "../scheduling/index.js";
import type { Placement } from "../placement/index.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Rng } from "../shared/rng.js";
import { worseVerdict } from "../shared/verdict.js";
import type { CallerRequest } from "./callerRequest.js";
import { EngineCalls } from "./engineCalls.js";
import type { EngineCallsOptions } from "./engineCalls.js";
import { EngineNews } from "./engineNews.js";
import { EngineRun } from "./engineRun.js";
import { EngineWatch } from "./engineWatch.js";
import { askOf, mayGoOn, newJourney, overdueRound } from "./journey.js";
import type { Journey, Round } from "./journey.js";
import { PromptReader } from "./promptReader.js";
import type { RetryBudgets } from "./retryBudgets.js";
import type { ReadHandle } from "./types.js";
import { afterBackOffMs, failureOf } from "./verdicts.js";

export interface StreamFlowOptions extends EngineCallsOptions {
  budgets: RetryBudgets;
  placement: Placement;
  domain: string;
  rng: Rng;
}

const endedUnused = (id: string): PlacementEvent => ({
  kind: "ended",
  id,
  ok: true,
  firstEventMs: 0,
});

export class StreamFlow {
  private readonly calls: EngineCalls;
  private readonly news: EngineNews;
  private readonly reader: PromptReader;
  private readonly engineRun: EngineRun;
  private sequence = 0;

  constructor(
    private readonly options: StreamFlowOptions,
    /** Makes grant ids unique among the entries. */
    private readonly entryId: string,
  ) {
    this.calls = new EngineCalls(options);
    this.news = new EngineNews(options);
    const watch = new EngineWatch(options);
    this.reader = new PromptReader(this.calls, watch, options);
    this.engineRun = new EngineRun(this.calls, watch, this.news, options);
  }

  async run(caller: CallerRequest): Promise<void> {
    const { budgets, now } = this.options;
    const onFirstEvent = () => this.noteBegun(journey);
    const journey: Journey = newJourney(caller, onFirstEvent, now);
    for (;;) {
      const sentBefore = caller.sentTo.length;
      const round = await this.round(journey);
      const sends = caller.sentTo.length - sentBefore;
      // A further round was paid for as one send, and may have been two.
      if (sentBefore > 0 && sends > 1)
        budgets.charge(caller.service, sends - 1);
      if (round.kind === "done") return;
      if (round.kind === "refused") return this.giveUp(journey, round.failure);
      journey.verdict = worseVerdict(journey.verdict, round.verdict);
      journey.avoid.push(round.avoid);
      if (caller.isCallerGone) return;
      const failure = failureOf(journey.verdict, round.why);
      if (!mayGoOn(journey)) return this.giveUp(journey, failure);
      if (sends > 0 && !budgets.spend(caller.service))
        return this.giveUp(journey, failure);
    }
  }

  private async round(journey: Journey): Promise<Round> {
    const { placement } = this.options;
    const { caller } = journey;
    const barred = this.options.quarantine.refusal(caller);
    if (barred !== undefined) return { kind: "refused", failure: barred };
    journey.rounds += 1;
    this.sequence += 1;
    journey.grantId = `${this.entryId}/${this.sequence}`;
    const answer = await this.place(journey);
    if (answer === undefined) return overdueRound(journey);
    if (answer.kind === "refused") {
      const failure = failureOf(journey.verdict, `no engine: ${answer.why}`);
      const retryAfterMs = this.retryAfterMs(caller, answer);
      const isNotRun = failure.verdict === "not-run";
      return {
        kind: "refused",
        failure: isNotRun ? { ...failure, retryAfterMs } : failure,
      };
    }
    journey.grantedAt = this.options.now() - answer.ageMs;
    this.logGrant(journey, answer);
    let isGood = false;
    let isDone = false;
    try {
      const round = await this.carryOut(journey, answer);
      isGood = round.kind !== "failed" || round.isBlameless === true;
      isDone = round.kind === "done";
      return round;
    } finally {
      const id = journey.grantId;
      const ok = isGood || caller.isCallerGone;
      const { firstEventMs } = journey;
      const isCut = !isDone || caller.isCallerGone;
      const stream = journey.relay.takeStreamResult(isCut);
      const event = { kind: "ended" as const, id, ok, firstEventMs, stream };
      placement.reportEvent(caller.service, event);
    }
  }

  /**
   * Where engines back off, none takes it before the first of them may; those
   * who come back to limited ones are spread as well.
   */
  private retryAfterMs({ service }: CallerRequest, answer: Refusal): number {
    const { replicas, now, rng } = this.options;
    if (answer.why === "limited")
      return afterBackOffMs(answer.retryAfterMs, rng);
    const ends = [...replicas.signals.backOffEnds(service, now()).values()];
    if (answer.why !== "no-engine" || ends.length === 0) {
      return answer.retryAfterMs;
    }
    return afterBackOffMs(Math.min(...ends) - now(), rng);
  }

  /** Where it goes; undefined if it was cancelled before that was known. */
  private place(journey: Journey): Promise<PlacementAnswer | undefined> {
    const { placement, replicas, domain, now } = this.options;
    const { caller, grantId } = journey;
    const { service } = caller;
    const unavailable = replicas.signals.unavailable(service, now());
    return new Promise((resolve, reject) => {
      const off = caller.cancellation.onCancel(() => {
        placement.cancel(service, grantId);
        resolve(undefined);
      });
      const onAnswer = (answer: PlacementAnswer): void => {
        off();
        resolve(answer);
        if (!caller.cancellation.isCancelled) return;
        const isGranted = answer.kind === "granted";
        if (isGranted) placement.reportEvent(service, endedUnused(grantId));
      };
      placement
        .place(askOf(journey, domain, unavailable))
        .then(onAnswer, reject);
    });
  }

  private async carryOut(journey: Journey, grant: Grant): Promise<Round> {
    const { caller } = journey;
    if (caller.cancellation.isCancelled) return overdueRound(journey);
    let handle: ReadHandle | undefined;
    if (grant.reader !== undefined) {
      const read = await this.readPrompt(journey, grant, grant.reader);
      if (read.kind !== "read") return read;
      handle = read.handle;
    }
    const round = await this.engineRun.run(journey, grant, handle);
    if (round.kind !== "done" && handle !== undefined)
      this.calls.free(caller.service, handle);
    return round;
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
      grantedAt: journey.grantedAt,
      cacheSource: this.calls.addressOf(grant.donor),
    };
    const read = await this.reader.read(caller, order);
    if (read.kind === "wrong-stage")
      return this.news.wrongStage(journey, reader);
    if (read.kind === "silent") return this.news.silentRead(journey, reader);
    if (read.kind === "unavailable" && !caller.cancellation.isCancelled)
      return this.news.rejected(journey, reader, "read", read.why);
    const ok = read.kind === "read";
    placement.reportEvent(caller.service, { kind: "read", id: grantId, ok });
    if (read.kind === "read") {
      if (!caller.cancellation.isCancelled) return read;
      this.calls.free(caller.service, read.handle);
      return overdueRound(journey);
    }
    if (caller.isOverdue) return overdueRound(journey);
    this.news.logFault(caller, reader, "read", read.why);
    return { kind: "failed", verdict: "not-run", why: read.why, avoid: reader };
  }

  private noteBegun(journey: Journey): void {
    const { caller, grantId } = journey;
    caller.noteBegun();
    journey.firstEventMs = this.options.now() - journey.runSentAt;
    if (!journey.readsAtRunner) return;
    const event = { kind: "begun" as const, id: grantId };
    this.options.placement.reportEvent(caller.service, event);
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
      grantAgeMs: Math.round(grant.ageMs),
      promptTokens: caller.head.prompt?.promptTokens,
      outputTokens: caller.head.prompt?.outputTokens,
      elapsedMs: Math.round(caller.elapsedMs()),
      round: rounds,
    });
  }
}
