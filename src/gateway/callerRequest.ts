/** One caller's request while it is served, and how it is answered. */
import type { ServerResponse } from "node:http";

import { Cancellation } from "../shared/cancellation.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Log, LogFields, Metrics } from "../telemetry/index.js";
import { requestDigest } from "../quarantine/index.js";
import type { RequestForm } from "./requestForm.js";
import type { InboundHead, Route } from "./types.js";
import type { CallerIdentity, Workspace } from "../workspaces/index.js";

/**
 * How long past its limit a request is held for an answer that is on its
 * way, ms. A replica ends by itself at the limit.
 */
const LAST_ANSWER_MS = 80;

export interface CallerRequestOptions {
  res: ServerResponse;
  head: InboundHead;
  route: Route;
  service: string;
  claim: CallerIdentity;
  body: Buffer;
  arrivedAt: number;
  /** A request of a workspace began to run `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void;
  form: RequestForm;
  log: Log;
  metrics: Metrics;
  now: () => number;
  /** Version of the configuration that routed it. */
  configVersion: number;
  /** The longest time that callers of this route were seen to give, ms. */
  fullDeadlineMs: number;
}

export class CallerRequest {
  readonly head: InboundHead;
  readonly route: Route;
  readonly service: string;
  readonly claim: CallerIdentity;
  readonly body: Buffer;
  readonly arrivedAt: number;
  /** Instant at which the caller or the route gives up, ms. */
  readonly deadlineAt: number;
  /** Comes when the caller is gone or the time is over. */
  readonly cancellation = new Cancellation();
  private readonly timer: NodeJS.Timeout;
  private readonly fullDeadlineMs: number;
  private knownDigest: string | undefined;
  private isAnswered = false;
  private hasRun = false;
  /** When a stream began, ms after its arrival. */
  private firstMs: number | undefined;
  /** Whether the caller went before its answer was whole. */
  isCallerGone = false;
  isOverdue = false;
  /** A trial of a barred request: it is sent once, and not again. */
  isTrial = false;
  /** Replicas that it was sent to, in order, for the log. */
  readonly sentTo: string[] = [];

  constructor(private readonly options: CallerRequestOptions) {
    const { head, route, service, body, arrivedAt, res, now } = options;
    this.head = head;
    this.route = route;
    this.service = service;
    this.claim = options.claim;
    this.body = body;
    this.arrivedAt = arrivedAt;
    this.fullDeadlineMs = options.fullDeadlineMs;
    const budgetMs = Math.min(
      head.deadlineMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    this.deadlineAt = arrivedAt + budgetMs;
    const left = Math.max(0, this.deadlineAt + LAST_ANSWER_MS - now());
    this.timer = setTimeout(() => this.onOverdue(), left);
    res.on("close", () => this.onClose());
  }

  get res(): ServerResponse {
    return this.options.res;
  }

  /** What tells whether it is the same as another request. */
  get digest(): string {
    const { host, target } = this.head;
    const workspace = this.workspace?.name ?? "";
    this.knownDigest ??= requestDigest({
      host,
      target,
      workspace,
      body: this.body,
    });
    return this.knownDigest;
  }

  /** Whether it came back after a refusal: part of its time is gone. */
  get isReturn(): boolean {
    const { deadlineMs } = this.head;
    return deadlineMs !== undefined && deadlineMs < this.fullDeadlineMs;
  }

  /** 0 is the most urgent; a workspace's own goes before its route's. */
  get priority(): number {
    return this.workspace?.priority ?? this.route.priority;
  }

  private get workspace(): Workspace | undefined {
    return this.claim.kind === "workspace" ? this.claim.workspace : undefined;
  }

  /** A replica began to run it so long ago; counted once. */
  noteBegun(agoMs = 0): void {
    if (this.hasRun) return;
    this.hasRun = true;
    const { workspace } = this;
    if (workspace !== undefined) this.options.onBegun(workspace.name, agoMs);
  }

  /** Time left, ms; never negative. */
  leftMs(): number {
    return Math.max(0, this.deadlineAt - this.options.now());
  }

  elapsedMs(): number {
    return this.options.now() - this.arrivedAt;
  }

  /** Answers with a whole reply of a replica. */
  answerWhole(status: number, headers: string[], body: Buffer): void {
    if (!this.begin("answered")) return;
    headers.push("Content-Length", String(body.length));
    this.writeHead(status, headers);
    this.res.end(body);
  }

  /** Sends the head of a streamed reply; its end is logged, not its begin. */
  beginStream(status: number, headers: string[]): void {
    if (this.isAnswered) return;
    this.isAnswered = true;
    if (this.res.destroyed) return this.note("caller_gone");
    this.firstMs = Math.round(this.elapsedMs());
    this.count("streamed");
    this.writeHead(status, headers);
    this.res.flushHeaders();
  }

  /** A stream has ended, or its caller is gone. */
  endStream(outcome: string, figures: LogFields): void {
    this.log(outcome, { firstMs: this.firstMs, ...figures });
  }

  get hasBegun(): boolean {
    return this.isAnswered;
  }

  /** Ends without an answer that could be taken for a whole one. */
  cut(why: string): void {
    this.note("cut", { why });
    this.res.destroy();
  }

  fail(failure: RequestFailure): void {
    if (this.isAnswered) return this.cut(failure.message);
    const fields = {
      verdict: failure.verdict,
      status: failure.status,
      why: failure.message,
      retryAfterMs: failure.retryAfterMs,
    };
    if (!this.begin(failure.code, fields)) return;
    sendFailure(this.res, this.options.form, failure, this.head.id);
  }

  /** Counts and logs the outcome. */
  private note(outcome: string, fields: LogFields = {}): void {
    this.count(outcome);
    this.log(outcome, fields);
  }

  private count(outcome: string): void {
    const { metrics } = this.options;
    const className = this.route.name;
    metrics.count("request", { class: className, outcome });
    const owner = this.workspace?.name ?? this.service;
    metrics.latency(className, owner, this.elapsedMs());
  }

  private log(outcome: string, fields: LogFields): void {
    this.options.log.info("request", {
      requestId: this.head.id,
      route: this.route.name,
      service: this.service,
      workspace: this.workspace?.name,
      outcome,
      elapsedMs: Math.round(this.elapsedMs()),
      deadlineLeftMs: Math.round(this.leftMs()),
      configuration: this.options.configVersion,
      sentTo: this.sentTo.join(","),
      // Known only of requests that were at a replica that ended.
      digest: this.knownDigest,
      ...fields,
    });
  }

  private begin(outcome: string, fields: LogFields = {}): boolean {
    if (this.isAnswered) return false;
    this.isAnswered = true;
    if (this.res.destroyed) {
      this.note("caller_gone");
      return false;
    }
    this.note(outcome, fields);
    return true;
  }

  private writeHead(status: number, headers: string[]): void {
    this.res.sendDate = false;
    this.res.writeHead(status, headers);
  }

  private onOverdue(): void {
    this.isOverdue = true;
    this.cancellation.cancel();
  }

  private onClose(): void {
    clearTimeout(this.timer);
    if (this.res.writableFinished) return;
    this.isCallerGone = true;
    this.cancellation.cancel();
  }
}

/** Answers with a failure in the form that callers understand. */
export const sendFailure = (
  res: ServerResponse,
  form: RequestForm,
  failure: RequestFailure,
  requestId: string,
): void => {
  if (res.headersSent || res.destroyed) return;
  const answer = form.failureAnswer(failure, requestId);
  const length = String(Buffer.byteLength(answer.body));
  res.writeHead(answer.status, [...answer.headers, "Content-Length", length]);
  res.end(answer.body);
};
