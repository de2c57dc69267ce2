/**
 * One caller's request from its plan to its last byte: claim, attempts,
 * retries within the budget, and the answer with its verdict.
 */
import { randomUUID } from "node:crypto";

import type { Claims, ClaimRequest, StoredAnswer } from "../claims/index.js";
import { passedHeaders } from "../http/index.js";
import {
  decideRetry,
  creditRetryBudget,
  newRetryBudget,
} from "../retry/index.js";
import type { Choice, RouteRequest, Router } from "../routing/index.js";
import { HEADERS } from "../shared/constants.js";
import type { RequestFailure } from "../shared/errors.js";
import type { TokenBucket } from "../shared/tokenBucket.js";
import { worseVerdict } from "../shared/verdict.js";
import type { Verdict } from "../shared/verdict.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { AttemptRunner } from "./attemptRunner.js";
import {
  deadlineFailure,
  noUpstreamFailure,
  sendCallerFailure,
} from "./callerFailure.js";
import type { RequestPlan } from "./requestPlan.js";
import { StreamRelay } from "./streamRelay.js";
import type { CallerRequest } from "./types.js";
import type { WholeResponse } from "./wholeResponse.js";

export interface RequestFlowOptions {
  router: Router;
  attempts: AttemptRunner;
  claims: Claims;
  log: Log;
  metrics: Metrics;
  now: () => number;
}

/** Shorter prompts are read where their output is produced. */
const MIN_KV_PROMPT_TOKENS = 1024;
/** Shorter outputs are not worth a second engine. */
const MIN_KV_OUTPUT_TOKENS = 8;

/** The route of a request whose prompt has been read by another engine. */
const toDecodeRoute = (route: RouteRequest): RouteRequest => ({
  ...route,
  phase: "decode",
  promptTokens: 0,
  prefixes: [],
});

/** Runs requests of one entry. */
export class RequestFlow {
  private readonly budgets = new Map<string, TokenBucket>();

  constructor(private readonly options: RequestFlowOptions) {}

  async run(request: CallerRequest): Promise<void> {
    const { plan, res } = request;
    const claim = this.claimOf(request);
    if (claim !== undefined) {
      const answer = await this.options.claims.begin(claim);
      if (answer.kind === "refused") {
        return this.fail(request, answer.failure);
      }
      if (answer.kind === "replay") return this.replay(request, answer.answer);
    }
    const controller = new AbortController();
    const deadlineAt = request.arrivedAt + plan.timeoutMs;
    const left = Math.max(0, deadlineAt - this.options.now());
    const timer = setTimeout(() => controller.abort(), left);
    // A never-repeat request is not given up with its caller: its answer is
    // kept for the repeat.
    const onClose = () => {
      if (claim === undefined) controller.abort();
    };
    res.on("close", onClose);
    try {
      await this.attempts(request, deadlineAt, controller.signal, claim);
    } finally {
      clearTimeout(timer);
      res.removeListener("close", onClose);
    }
  }

  /** Gives the kept answer of the same key again. */
  private replay(request: CallerRequest, kept: StoredAnswer): void {
    request.res.writeHead(kept.status, {
      "content-type": kept.contentType,
      [HEADERS.replayed]: "true",
      [HEADERS.requestId]: request.id,
    });
    request.res.end(kept.body);
    this.recordOutcome(request, "replayed");
  }

  /** Answers with a failure and its verdict. */
  fail(request: CallerRequest, failure: RequestFailure): void {
    sendCallerFailure(request.res, request.id, failure);
    this.recordOutcome(request, failure.code, failure);
  }

  private claimOf(request: CallerRequest): ClaimRequest | undefined {
    const { plan, id } = request;
    if (plan.requestClass.repeat !== "never") return undefined;
    return {
      service: plan.service.name,
      key: plan.idempotencyKey ?? id,
      print: plan.fingerprint,
      requestId: id,
    };
  }

  private async attempts(
    request: CallerRequest,
    deadlineAt: number,
    signal: AbortSignal,
    claim: ClaimRequest | undefined,
  ): Promise<void> {
    const { plan } = request;
    const relay = plan.isStream ? new StreamRelay(request.res) : undefined;
    const tried = new Set<string>();
    let verdict: Verdict = "not-run";
    let attempts = 0;
    this.creditBudget(plan.service.name);
    const kvUrl = await this.prefillElsewhere(request, deadlineAt, signal);
    for (;;) {
      const whole = this.routeOf(plan, deadlineAt, tried);
      const isFirst = attempts === 0 && kvUrl !== undefined;
      const route = isFirst ? toDecodeRoute(whole) : whole;
      const choice = this.choose(route) ?? this.choose(whole);
      if (choice === undefined) {
        return this.giveUp(request, noUpstreamFailure(verdict), relay, claim);
      }
      attempts += 1;
      tried.add(choice.upstream.id);
      const end = await this.options.attempts.run({
        request,
        choice,
        route,
        signal,
        relay,
        kvUrl: isFirst ? kvUrl : undefined,
      });
      if (end.kind === "answered")
        return this.recordOutcome(request, "answered");
      if (end.kind === "whole") {
        return this.answer(request, end.answer, claim);
      }
      if (end.kind === "caller-gone")
        return this.recordOutcome(request, "caller_gone");
      verdict = worseVerdict(verdict, end.failure.verdict);
      const failure = { ...end.failure, verdict };
      if (request.res.destroyed && claim === undefined) {
        return this.recordOutcome(request, "caller_gone");
      }
      if (signal.aborted) {
        const late = deadlineFailure(verdict);
        return this.giveUp(request, late, relay, claim);
      }
      const now = this.options.now();
      const repeat = plan.requestClass.repeat;
      const decision = decideRetry(
        { failure, repeat, attempts, deadlineAt, now },
        this.budgetOf(plan.service.name),
      );
      this.budgets.set(plan.service.name, decision.bucket);
      if (decision.kind === "give-up") {
        return this.giveUp(request, failure, relay, claim);
      }
      this.options.metrics.count("retry", { service: plan.service.name });
    }
  }

  /**
   * Where a service has engines for prefill and for decode, a long prompt is
   * read by one of the first; its KV cache goes from engine to engine. Any
   * failure here costs time only: the request goes on as a whole.
   */
  private async prefillElsewhere(
    request: CallerRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const { plan } = request;
    const isWorth =
      plan.promptTokens >= MIN_KV_PROMPT_TOKENS &&
      plan.outputTokens >= MIN_KV_OUTPUT_TOKENS &&
      plan.requestClass.repeat === "safe";
    if (!isWorth) return undefined;
    const { router, attempts, now, metrics } = this.options;
    const whole = this.routeOf(plan, deadlineAt, new Set());
    if (router.choose(toDecodeRoute(whole), now()) === undefined)
      return undefined;
    const route: RouteRequest = { ...whole, phase: "prefill", outputTokens: 1 };
    const choice = router.choose(route, now());
    if (choice === undefined) return undefined;
    const relay = undefined;
    const kvUrl = await attempts.readPrompt({
      request,
      choice,
      route,
      signal,
      relay,
      kvUrl: undefined,
    });
    const outcome = kvUrl === undefined ? "failed" : "read";
    metrics.count("kv_transfer", { service: plan.service.name, outcome });
    return kvUrl;
  }

  /** Where all have been tried, one that is still usable may go again. */
  private choose(route: RouteRequest): Choice | undefined {
    const { router, now } = this.options;
    const fresh = router.choose(route, now());
    if (fresh !== undefined || route.tried.size === 0) return fresh;
    return router.choose({ ...route, tried: new Set() }, now());
  }

  private routeOf(
    plan: RequestPlan,
    deadlineAt: number,
    tried: ReadonlySet<string>,
  ): RouteRequest {
    return {
      service: plan.service,
      phase: "whole",
      urgency: plan.requestClass.urgency,
      promptTokens: plan.promptTokens,
      outputTokens: plan.outputTokens,
      prefixes: plan.prefixes,
      deadlineAt,
      tried,
    };
  }

  private async answer(
    request: CallerRequest,
    answer: WholeResponse,
    claim: ClaimRequest | undefined,
  ): Promise<void> {
    const { res } = request;
    if (claim !== undefined) {
      await this.options.claims.finish(claim, {
        status: answer.status,
        contentType: String(answer.headers["content-type"] ?? "text/plain"),
        body: answer.body.toString("utf8"),
      });
    }
    if (!res.destroyed) {
      res.writeHead(answer.status, {
        ...passedHeaders(answer.headers, () => false),
        "content-length": answer.body.length,
        [HEADERS.requestId]: request.id,
      });
      res.end(answer.body);
    }
    this.recordOutcome(request, "answered");
  }

  private async giveUp(
    request: CallerRequest,
    failure: RequestFailure,
    relay: StreamRelay | undefined,
    claim: ClaimRequest | undefined,
  ): Promise<void> {
    if (relay?.isStarted) {
      relay.fail(failure);
      return this.recordOutcome(request, failure.code, failure);
    }
    this.fail(request, failure);
    if (claim !== undefined && failure.verdict === "not-run") {
      await this.options.claims.release(claim);
    }
  }

  private recordOutcome(
    request: CallerRequest,
    outcome: string,
    failure?: RequestFailure,
  ): void {
    const { plan, id, arrivedAt } = request;
    const durationMs = this.options.now() - arrivedAt;
    const className = `${plan.service.name}/${plan.requestClass.name}`;
    this.options.metrics.count("request", { class: className, outcome });
    this.options.metrics.latency(className, plan.workspace, durationMs);
    if (failure === undefined) return;
    this.options.log.info("request failed", {
      requestId: id,
      service: plan.service.name,
      verdict: failure.verdict,
      cause: `${failure.code}: ${failure.message}`,
    });
  }

  private budgetOf(service: string): TokenBucket {
    return this.budgets.get(service) ?? newRetryBudget(this.options.now());
  }

  private creditBudget(service: string): void {
    const now = this.options.now();
    this.budgets.set(service, creditRetryBudget(this.budgetOf(service), now));
  }
}

/** A fresh id of a request. */
export const newRequestId = (): string => randomUUID();
