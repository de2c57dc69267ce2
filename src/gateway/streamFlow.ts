/**
 * Handles requests to model engines: the scheduler places them, one engine
 * prefills the prompt where that pays, another streams the response, and an
 * interrupted stream is resumed where the route allows it.
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
import { EngineFailureReporter } from "./engineFailureReporter.js";
import type { EntryLink } from "./entryLink.js";
import { EngineRun } from "./engineRun.js";
import { EngineWatch } from "./engineWatch.js";
import {
  toPlacementRequest,
  canRetry,
  newRequestProgress,
  overdueResult,
  retriesIn,
} from "./requestProgress.js";
import type { RequestProgress, RoundResult } from "./requestProgress.js";
import { PromptPrefiller } from "./promptPrefiller.js";
import type { RetryBudgets, RetryPermit } from "./retryBudgets.js";
import type { PrefillHandle } from "./types.js";
import { afterBackOffMs, failureOf } from "./verdicts.js";

export interface StreamFlowOptions extends EngineCallsOptions {
  budgets: RetryBudgets;
  placement: Placement;
  link: EntryLink;
  domain: string;
  rng: Rng;
}

/** For a round whose sends are no retries. */
const NO_RETRIES: RetryPermit = { settle: () => undefined };

const unusedGrantEnded = (id: string): PlacementEvent => ({
  kind: "ended",
  id,
  ok: true,
  firstEventMs: 0,
});

export class StreamFlow {
  private readonly calls: EngineCalls;
  private readonly failures: EngineFailureReporter;
  private readonly prefiller: PromptPrefiller;
  private readonly engineRun: EngineRun;
  private sequence = 0;

  constructor(
    private readonly options: StreamFlowOptions,
    /** Prefix of grant ids, which makes them unique across entries. */
    private readonly entryId: string,
  ) {
    this.calls = new EngineCalls(options);
    this.failures = new EngineFailureReporter(options);
    const watch = new EngineWatch(options);
    this.prefiller = new PromptPrefiller(this.calls, watch, options);
    this.engineRun = new EngineRun(this.calls, watch, this.failures, options);
  }

  async run(caller: CallerRequest): Promise<void> {
    const plan = this.options.link.admit(caller);
    if (plan.kind === "refused") return caller.fail(plan.failure);
    caller.onWritten = () => plan.end();
    try {
      await this.runRounds(caller);
    } finally {
      plan.end();
    }
  }

  private async runRounds(caller: CallerRequest): Promise<void> {
    const { budgets, now } = this.options;
    const onFirstEvent = () => this.reportFirstEvent(progress);
    const progress: RequestProgress = newRequestProgress(
      caller,
      onFirstEvent,
      now,
    );
    for (;;) {
      const round = await this.round(progress);
      if (round.kind === "done") return;
      if (round.kind === "refused")
        return this.failRequest(progress, round.failure);
      progress.verdict = worseVerdict(progress.verdict, round.verdict);
      progress.avoid.push(round.avoid);
      if (caller.isCallerGone) return;
      const failure = failureOf(progress.verdict, round.why);
      if (!canRetry(progress)) return this.failRequest(progress, failure);
      const isRetry = caller.sentTo.length > 0;
      if (isRetry && !budgets.hasRetry(caller.service))
        return this.failRequest(progress, failure);
    }
  }

  private async round(progress: RequestProgress): Promise<RoundResult> {
    const { placement, link } = this.options;
    const { caller } = progress;
    const quarantineRefusal = this.options.quarantine.refusal(caller);
    if (quarantineRefusal !== undefined)
      return { kind: "refused", failure: quarantineRefusal };
    progress.rounds += 1;
    this.sequence += 1;
    progress.grantId = `${this.entryId}/${this.sequence}`;
    progress.isWhole = link.mustSendOnce(caller);
    const answer = await this.place(progress);
    if (answer === undefined) return overdueResult(progress);
    if (answer.kind === "refused") {
      link.onRefused(answer);
      const failure = failureOf(progress.verdict, `no engine: ${answer.why}`);
      const retryAfterMs = this.retryAfterMs(caller, answer);
      const isNotRun = failure.verdict === "not-run";
      return {
        kind: "refused",
        failure: isNotRun ? { ...failure, retryAfterMs } : failure,
      };
    }
    progress.grantedAt = this.options.now() - answer.ageMs;
    progress.grantedVersion = this.options.replicas.get(
      answer.runner,
    )?.softwareVersion;
    const retries = this.acquireRetries(progress, answer);
    if (retries === undefined) {
      placement.reportEvent(caller.service, unusedGrantEnded(progress.grantId));
      const failure = failureOf(progress.verdict, "no retry is left");
      return { kind: "refused", failure };
    }
    progress.retries = retries;
    this.logGrant(progress, answer);
    if (progress.isWhole) link.onWholeGranted(answer);
    let isGood = false;
    let isDone = false;
    let isHandleRefused = false;
    try {
      const round = await this.executeGrant(progress, answer);
      isGood = round.kind !== "failed" || round.isNotEngineFault === true;
      isDone = round.kind === "done";
      isHandleRefused =
        round.kind === "failed" && round.isHandleRefused === true;
      return round;
    } finally {
      const id = progress.grantId;
      const ok = isGood || caller.isCallerGone;
      const { firstEventMs } = progress;
      this.settleRetries(progress, retries);
      const isCut = !isDone || caller.isCallerGone;
      const stream = progress.relay.takeStreamResult(isCut);
      placement.reportEvent(caller.service, {
        kind: "ended",
        id,
        ok,
        firstEventMs,
        stream,
        isHandleRefused,
      });
    }
  }

  /** For the sends of a round; undefined if the budget does not allow them. */
  private acquireRetries(
    { caller, hasPrefilled, chargedRetries }: RequestProgress,
    { reader }: Grant,
  ): RetryPermit | undefined {
    const isSplit = reader !== undefined;
    const sends = caller.sentTo.length + (isSplit ? 2 : 1);
    const needed = retriesIn(sends, hasPrefilled || isSplit) - chargedRetries;
    if (needed <= 0) return NO_RETRIES;
    const permit = this.options.budgets.acquire(caller.service, needed);
    if (permit !== undefined) caller.retries = chargedRetries + needed;
    return permit;
  }

  /** Gives back what a round that ended early has not sent. */
  private settleRetries(progress: RequestProgress, retries: RetryPermit): void {
    const { caller, hasPrefilled, chargedRetries } = progress;
    const charged = retriesIn(caller.sentTo.length, hasPrefilled);
    retries.settle(Math.max(0, charged - chargedRetries));
    progress.chargedRetries = Math.max(charged, chargedRetries);
    caller.retries = progress.chargedRetries;
  }

  /**
   * Where engines back off, retrying makes no sense before the first back-off
   * ends. Retries to rate-limited engines are spread over time as well.
   * Undefined if coming back is in vain.
   */
  private retryAfterMs(
    { service }: CallerRequest,
    answer: Refusal,
  ): number | undefined {
    const { replicas, now, rng } = this.options;
    if (answer.retryAfterMs === 0) return undefined;
    if (answer.why === "limited")
      return afterBackOffMs(answer.retryAfterMs, rng);
    const ends = [...replicas.signals.backOffEnds(service, now()).values()];
    if (answer.why !== "no-engine" || ends.length === 0) {
      return answer.retryAfterMs;
    }
    return afterBackOffMs(Math.min(...ends) - now(), rng);
  }

  /** Asks for a placement; undefined if the request was cancelled first. */
  private place(
    progress: RequestProgress,
  ): Promise<PlacementAnswer | undefined> {
    const { placement, replicas, domain, now } = this.options;
    const { caller, grantId } = progress;
    const { service } = caller;
    const unavailable = replicas.signals.unavailableIds(service, now());
    return new Promise((resolve, reject) => {
      const stopListening = caller.cancellation.onCancel(() => {
        placement.cancel(service, grantId);
        resolve(undefined);
      });
      const onAnswer = (answer: PlacementAnswer): void => {
        stopListening();
        resolve(answer);
        if (!caller.cancellation.isCancelled) return;
        const isGranted = answer.kind === "granted";
        if (isGranted)
          placement.reportEvent(service, unusedGrantEnded(grantId));
      };
      placement
        .place(toPlacementRequest(progress, domain, unavailable))
        .then(onAnswer, reject);
    });
  }

  private async executeGrant(
    progress: RequestProgress,
    grant: Grant,
  ): Promise<RoundResult> {
    const { caller } = progress;
    if (caller.cancellation.isCancelled) return overdueResult(progress);
    let handle: PrefillHandle | undefined;
    if (grant.reader !== undefined) {
      const prefilled = await this.prefillPrompt(progress, grant, grant.reader);
      if (prefilled.kind !== "read") return prefilled;
      progress.hasPrefilled = true;
      handle = prefilled.handle;
    }
    const round = await this.engineRun.run(progress, grant, handle);
    if (round.kind !== "done" && handle !== undefined)
      this.calls.releaseHandle(caller.service, handle);
    return round;
  }

  private async prefillPrompt(
    progress: RequestProgress,
    grant: Grant,
    reader: string,
  ): Promise<RoundResult | { kind: "read"; handle: PrefillHandle }> {
    const { placement } = this.options;
    const { caller, grantId } = progress;
    const order = {
      reader,
      expectedMs: grant.readMs,
      grantedAt: progress.grantedAt,
      cacheSource: this.calls.addressOf(grant.donor),
    };
    const outcome = await this.prefiller.prefill(caller, order);
    if (outcome.kind === "wrong-stage")
      return this.failures.onWrongStage(progress, reader);
    if (outcome.kind === "silent")
      return this.failures.onSilentPrefill(progress, reader);
    if (outcome.kind === "unavailable" && !caller.cancellation.isCancelled)
      return this.failures.onRejected(progress, reader, "read", outcome.why);
    const ok = outcome.kind === "read";
    placement.reportEvent(caller.service, { kind: "read", id: grantId, ok });
    if (outcome.kind === "read") {
      if (!caller.cancellation.isCancelled) return outcome;
      this.calls.releaseHandle(caller.service, outcome.handle);
      return overdueResult(progress);
    }
    if (caller.isPastDeadline) return overdueResult(progress);
    this.failures.logSendFailure(caller, reader, "read", outcome.why);
    return {
      kind: "failed",
      verdict: "not-run",
      why: outcome.why,
      avoid: reader,
    };
  }

  private reportFirstEvent(progress: RequestProgress): void {
    const { caller, grantId } = progress;
    progress.runnerVersion = progress.grantedVersion;
    caller.markBegun();
    progress.firstEventMs = this.options.now() - progress.runSentAt;
    if (!progress.runnerPrefills) return;
    const event = { kind: "begun" as const, id: grantId };
    this.options.placement.reportEvent(caller.service, event);
  }

  private failRequest(
    progress: RequestProgress,
    failure: RequestFailure,
  ): void {
    if (progress.caller.isCallerGone) return;
    progress.caller.fail(failure);
  }

  private logGrant(
    { caller, rounds, relay, grantedVersion }: RequestProgress,
    grant: Grant,
  ): void {
    this.options.log.info("placed", {
      requestId: caller.head.id,
      reader: grant.reader,
      runner: grant.runner,
      runnerVersion: grantedVersion,
      resumes: caller.head.resumption?.streamId,
      eventsSent: relay.events,
      donor: grant.donor,
      expectedReadMs: Math.round(grant.readMs),
      grantAgeMs: Math.round(grant.ageMs),
      promptTokens: caller.head.prompt?.promptTokens,
      outputTokens: caller.head.prompt?.outputTokens,
      elapsedMs: Math.round(caller.elapsedMs()),
      round: rounds,
      retries: caller.retries,
    });
  }
}
