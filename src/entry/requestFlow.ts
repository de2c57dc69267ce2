/**
 * Processes a planned request to the end of its response: the claim of its
 * idempotency key, attempts, retries within the retry budget, and the response
 * or a failure with its verdict.
 */
import { randomUUID } from "node:crypto";

import type { Claims, ClaimRequest, StoredAnswer } from "../claims/index.js";
import { forwardedHeaders } from "../http/index.js";
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

/** Shorter prompts are read by the engine that produces the output. */
const MIN_KV_PROMPT_TOKENS = 1024;
/** Shorter outputs don't justify the use of a second engine. */
const MIN_KV_OUTPUT_TOKENS = 8;

/** Returns the route of a request whose prompt another engine has read. */
const toDecodeRoute = (route: RouteRequest): RouteRequest => ({
  ...route,
  phase: "decode",
  promptTokens: 0,
  prefixes: [],
});

/** Processes the requests of one entry. */
export class RequestFlow {
  private readonly budgets = new Map<string, TokenBucket>();

  constructor(private readonly options: RequestFlowOptions) {}

  async run(request: CallerRequest): Promise<void> {
    const { plan, res } = request;
    const claim = this.claimRequestFor(request);
    if (claim !== undefined) {
      const answer = await this.options.claims.begin(claim);
      if (answer.kind === "refused") {
        return this.fail(request, answer.failure);
      }
      if (answer.kind === "replay") return this.replay(request, answer.answer);
    }
    const controller = new AbortController();
    const deadlineAt = request.arrivedAt + plan.budgetMs;
    const remainingMs = Math.max(0, deadlineAt - this.options.now());
    const timer = setTimeout(() => controller.abort(), remainingMs);
    // A request that must never be repeated goes on if its caller disconnects:
    // its response is stored, and replayed if the caller sends the key again.
    const onClose = () => {
      if (claim === undefined) controller.abort();
    };
    res.on("close", onClose);
    try {
      await this.runAttempts(request, deadlineAt, controller.signal, claim);
    } finally {
      clearTimeout(timer);
      res.removeListener("close", onClose);
    }
  }

  /** Sends the stored response of an earlier request with the same key. */
  private replay(request: CallerRequest, stored: StoredAnswer): void {
    request.res.writeHead(stored.status, {
      "content-type": stored.contentType,
      [HEADERS.replayed]: "true",
      [HEADERS.requestId]: request.id,
    });
    request.res.end(stored.body);
    this.recordOutcome(request, "replayed");
  }

  /** Responds with a failure and its verdict. */
  fail(request: CallerRequest, failure: RequestFailure): void {
    sendCallerFailure(request.res, request.id, failure);
    this.recordOutcome(request, failure.code, failure);
  }

  private claimRequestFor(request: CallerRequest): ClaimRequest | undefined {
    const { plan, id } = request;
    if (plan.requestClass.repeat !== "never") return undefined;
    return {
      service: plan.service.name,
      key: plan.idempotencyKey ?? id,
      print: plan.fingerprint,
      requestId: id,
    };
  }

  private async runAttempts(
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
      const fullRoute = this.routeFor(plan, deadlineAt, tried);
      const isFirst = attempts === 0 && kvUrl !== undefined;
      const route = isFirst ? toDecodeRoute(fullRoute) : fullRoute;
      const choice = this.choose(route) ?? this.choose(fullRoute);
      if (choice === undefined) {
        return this.endWithFailure(
          request,
          noUpstreamFailure(verdict),
          relay,
          claim,
        );
      }
      attempts += 1;
      tried.add(choice.upstream.id);
      const outcome = await this.options.attempts.run({
        request,
        choice,
        route,
        signal,
        relay,
        kvUrl: isFirst ? kvUrl : undefined,
      });
      if (outcome.kind === "answered")
        return this.recordOutcome(request, "answered");
      if (outcome.kind === "whole") {
        return this.sendResponse(request, outcome.answer, claim);
      }
      if (outcome.kind === "caller-gone")
        return this.recordOutcome(request, "caller_gone");
      verdict = worseVerdict(verdict, outcome.failure.verdict);
      const failure = { ...outcome.failure, verdict };
      if (request.res.destroyed && claim === undefined) {
        return this.recordOutcome(request, "caller_gone");
      }
      if (signal.aborted) {
        const late = deadlineFailure(verdict);
        return this.endWithFailure(request, late, relay, claim);
      }
      const now = this.options.now();
      const repeat = plan.requestClass.repeat;
      const decision = decideRetry(
        { failure, repeat, attempts, deadlineAt, now },
        this.retryBudgetOf(plan.service.name),
      );
      this.budgets.set(plan.service.name, decision.bucket);
      if (decision.kind === "give-up") {
        return this.endWithFailure(request, failure, relay, claim);
      }
      this.options.metrics.count("retry", { service: plan.service.name });
    }
  }

  /**
   * If a service has separate prefill and decode engines, has a prefill engine
   * read a long prompt and returns the URL of its KV cache, which the decode
   * engine loads. A failure only costs time: undefined is returned and one
   * engine processes the whole request.
   */
  private async prefillElsewhere(
    request: CallerRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const { plan } = request;
    const isEligible =
      plan.promptTokens >= MIN_KV_PROMPT_TOKENS &&
      plan.outputTokens >= MIN_KV_OUTPUT_TOKENS &&
      plan.requestClass.repeat === "safe";
    if (!isEligible) return undefined;
    const { router, attempts, now, metrics } = this.options;
    const fullRoute = this.routeFor(plan, deadlineAt, new Set());
    if (router.choose(toDecodeRoute(fullRoute), now()) === undefined)
      return undefined;
    const route: RouteRequest = {
      ...fullRoute,
      phase: "prefill",
      outputTokens: 1,
    };
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

  /** Chooses an untried upstream, or a usable one again if all were tried. */
  private choose(route: RouteRequest): Choice | undefined {
    const { router, now } = this.options;
    const untried = router.choose(route, now());
    if (untried !== undefined || route.tried.size === 0) return untried;
    return router.choose({ ...route, tried: new Set() }, now());
  }

  private routeFor(
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

  private async sendResponse(
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
        ...forwardedHeaders(answer.headers, () => false),
        "content-length": answer.body.length,
        [HEADERS.requestId]: request.id,
      });
      request.exchange.holdAnswer(answer.body.length);
      res.end(answer.body);
    }
    this.recordOutcome(request, "answered");
  }

  private async endWithFailure(
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

  private retryBudgetOf(service: string): TokenBucket {
    return this.budgets.get(service) ?? newRetryBudget(this.options.now());
  }

  private creditBudget(service: string): void {
    const now = this.options.now();
    this.budgets.set(
      service,
      creditRetryBudget(this.retryBudgetOf(service), now),
    );
  }
}

/** Returns a new request id. */
export const newRequestId = (): string => randomUUID();
