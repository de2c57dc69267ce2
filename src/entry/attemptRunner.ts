/**
 * Runs one attempt of a request: sends it to the side of the chosen upstream,
 * reads the response and reports the outcome to the router.
 */
import type http from "node:http";
import { z } from "zod/v4";

import type { Choice, RouteRequest, Router } from "../routing/index.js";
import { HEADERS } from "../shared/constants.js";
import type { RequestFailure } from "../shared/errors.js";
import { forwardedHeaders } from "../http/index.js";
import type { Metrics } from "../telemetry/index.js";
import type { AttemptResult, Fault, SideClient } from "./sideClient.js";
import type { StreamRelay } from "./streamRelay.js";
import type { CallerRequest } from "./types.js";
import { readWholeResponse } from "./wholeResponse.js";
import type { WholeResponse } from "./wholeResponse.js";

const CONNECT_TIMEOUT_MS = 500;
const EVENT_STREAM = "text/event-stream";
const HTTP_NOT_FOUND = 404;
const HTTP_SERVER_ERROR = 500;

/** Outcome of an attempt, after its response was read. */
export type AttemptOutcome =
  | { kind: "answered" }
  | { kind: "whole"; answer: WholeResponse }
  | { kind: "failed"; failure: RequestFailure; fault: Fault }
  | { kind: "caller-gone" };

export interface AttemptRunnerOptions {
  router: Router;
  client: SideClient;
  metrics: Metrics;
  /** Secret shared by all processes of the fleet. */
  secret: string;
  maxAnswerBytes: number;
  now: () => number;
}

/** One attempt of a request. */
export interface AttemptOptions {
  request: CallerRequest;
  choice: Choice;
  route: RouteRequest;
  signal: AbortSignal;
  /** Defined for a streamed response. */
  relay: StreamRelay | undefined;
  /** URL of the prompt's KV cache, if another engine has read the prompt. */
  kvUrl: string | undefined;
}

/** Response of an engine that has read a prompt for another engine. */
const kvExportResponseSchema = z.object({ kv: z.object({ url: z.string() }) });

export class AttemptRunner {
  constructor(private readonly options: AttemptRunnerOptions) {}

  async run(attempt: AttemptOptions): Promise<AttemptOutcome> {
    const { router, client, now } = this.options;
    const { request, choice, route, signal, relay } = attempt;
    const { id } = choice.upstream;
    const newPrefixes = router.onSent(id, route, now());
    try {
      const result = await client.send({
        address: choice.upstream.dataAddress,
        method: request.req.method ?? "GET",
        path: request.req.url ?? "/",
        headers: this.requestHeaders(attempt),
        body: request.plan.body,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        timeoutMs: Math.max(1, route.deadlineAt - now()),
        signal,
      });
      const outcome = await this.readResponse(request, result, relay);
      this.recordOutcome(id, outcome);
      if (outcome.kind === "failed") router.onPromptNotCached(id, newPrefixes);
      return outcome;
    } finally {
      router.onEnd(id);
    }
  }

  /**
   * Has an engine read a prompt. Returns the URL of its KV cache, or undefined
   * if that failed.
   */
  async readPrompt(attempt: AttemptOptions): Promise<string | undefined> {
    const { router, client, now, maxAnswerBytes } = this.options;
    const { request, choice, route, signal } = attempt;
    const { id } = choice.upstream;
    router.onSent(id, route, now());
    try {
      const result = await client.send({
        address: choice.upstream.dataAddress,
        method: "POST",
        path: request.req.url ?? "/",
        headers: {
          ...this.requestHeaders(attempt),
          [HEADERS.kvExport]: "export",
        },
        body: request.plan.body,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        timeoutMs: Math.max(1, route.deadlineAt - now()),
        signal,
      });
      const outcome = await this.readResponse(request, result, undefined);
      this.recordOutcome(id, outcome);
      if (outcome.kind !== "whole") return undefined;
      const text = outcome.answer.body
        .toString("utf8")
        .slice(0, maxAnswerBytes);
      const parsed = kvExportResponseSchema.safeParse(JSON.parse(text));
      return parsed.success ? parsed.data.kv.url : undefined;
    } catch {
      return undefined;
    } finally {
      router.onEnd(id);
    }
  }

  private requestHeaders(attempt: AttemptOptions): http.OutgoingHttpHeaders {
    const { request, choice, route, relay } = attempt;
    const { plan, id, req } = request;
    const resume: Record<string, string> = relay?.sentTokens
      ? { [HEADERS.resumeFrom]: String(relay.sentTokens) }
      : {};
    return {
      ...forwardedHeaders(req.headers, () => false),
      [HEADERS.requestId]: id,
      [HEADERS.auth]: this.options.secret,
      [HEADERS.upstream]: choice.upstream.id,
      [HEADERS.workspace]: plan.workspace,
      [HEADERS.urgency]: plan.requestClass.urgency,
      [HEADERS.deadline]: String(
        Math.max(1, Math.round(route.deadlineAt - this.options.now())),
      ),
      [HEADERS.promptTokens]: String(route.promptTokens),
      [HEADERS.prefixes]: route.prefixes.join(","),
      [HEADERS.outputTokens]: String(route.outputTokens),
      ...resume,
      ...(attempt.kvUrl === undefined
        ? {}
        : { [HEADERS.kvImport]: attempt.kvUrl }),
    };
  }

  private async readResponse(
    request: CallerRequest,
    result: AttemptResult,
    relay: StreamRelay | undefined,
  ): Promise<AttemptOutcome> {
    if (result.kind === "failure") {
      return { kind: "failed", failure: result.failure, fault: result.fault };
    }
    const { res } = result;
    const type = String(res.headers["content-type"] ?? "");
    if (relay !== undefined && type.startsWith(EVENT_STREAM)) {
      return this.readStream(request, res, relay);
    }
    const whole = await readWholeResponse(res, this.options.maxAnswerBytes);
    if (whole.kind === "failure") {
      return { kind: "failed", failure: whole.failure, fault: "failing" };
    }
    return this.classifyResponse(request, whole.answer, relay);
  }

  /**
   * Decides whether a response goes to the caller or counts as a failed
   * attempt, which may be retried on another upstream.
   */
  private classifyResponse(
    request: CallerRequest,
    answer: WholeResponse,
    relay: StreamRelay | undefined,
  ): AttemptOutcome {
    const { requestClass, service } = request.plan;
    // This engine has not loaded the model yet; another one may have.
    const isNotLoaded =
      service.kind === "model" && answer.status === HTTP_NOT_FOUND;
    const isFault = answer.status >= HTTP_SERVER_ERROR;
    const isRepeatable = isFault && requestClass.repeat === "safe";
    const isPassedOn = !isNotLoaded && !isRepeatable && !relay?.isStarted;
    if (isPassedOn) return { kind: "whole", answer };
    const failure: RequestFailure = {
      status: 502,
      code: "upstream_error",
      message: `the upstream answered ${answer.status}`,
      verdict: isNotLoaded ? "not-run" : "may-have-run",
    };
    const fault = isNotLoaded ? "none" : "failing";
    return { kind: "failed", failure, fault };
  }

  private async readStream(
    request: CallerRequest,
    res: http.IncomingMessage,
    relay: StreamRelay,
  ): Promise<AttemptOutcome> {
    relay.start({
      ...forwardedHeaders(res.headers, () => false),
      [HEADERS.requestId]: request.id,
      "cache-control": "no-cache",
    });
    const end = await relay.relayEvents(res);
    switch (end.kind) {
      case "done":
        return { kind: "answered" };
      case "caller-gone":
        return { kind: "caller-gone" };
      case "cut": {
        const failure: RequestFailure = {
          status: 502,
          code: "cut",
          message: end.why,
          verdict: "may-have-run",
        };
        return { kind: "failed", failure, fault: "failing" };
      }
    }
  }

  private recordOutcome(upstream: string, end: AttemptOutcome): void {
    const { router, now } = this.options;
    switch (end.kind) {
      case "answered":
      case "whole":
        return router.onSuccess(upstream, now());
      case "caller-gone":
        return;
      case "failed":
        return this.recordFault(upstream, end.failure, end.fault);
    }
  }

  private recordFault(
    upstream: string,
    failure: RequestFailure,
    fault: Fault,
  ): void {
    const { router, now, metrics } = this.options;
    metrics.count("attempt_failed", { upstream, code: failure.code });
    switch (fault) {
      case "none":
        return;
      case "refused":
        if (failure.code === "leaving")
          return router.onLeaving(upstream, now());
        // A refusal for this request's deadline doesn't apply to other requests.
        if (failure.code === "deadline") return;
        return router.onRefusal(upstream, failure.retryAfterMs ?? 0, now());
      case "failing":
        return router.onFailure(upstream, now(), false);
      case "unreachable":
        return router.onFailure(upstream, now(), true);
    }
  }
}
