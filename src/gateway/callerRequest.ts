/** The state of a caller's request while it is served, and its response. */
import type { ServerResponse } from "node:http";

import type { CallerExchange } from "../callers/index.js";
import { Cancellation } from "../shared/cancellation.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Log, LogFields, Metrics } from "../telemetry/index.js";
import { requestDigest, sharedPartKeys } from "../quarantine/index.js";
import { ANSWER_HEAD_BYTES } from "./linkBudget.js";
import type { RequestCodec } from "./requestCodec.js";
import type { InboundHead, Route } from "./types.js";
import { urgencyRank } from "./urgency.js";
import type { CallerIdentity, Workspace } from "../workspaces/index.js";

/**
 * How long past its deadline a request is kept open for a response in transit,
 * ms. The replica itself stops at the deadline.
 */
const LATE_ANSWER_GRACE_MS = 80;

export interface CallerRequestOptions {
  res: ServerResponse;
  exchange: Pick<CallerExchange, "holdAnswer" | "releaseAnswer">;
  head: InboundHead;
  route: Route;
  service: string;
  claim: CallerIdentity;
  body: Buffer;
  arrivedAt: number;
  /** Called once a replica has begun to run the request, `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void;
  codec: RequestCodec;
  log: Log;
  metrics: Metrics;
  now: () => number;
  /** Called for bytes of the response that are written, heads included. */
  onSent?(bytes: number): void;
  /** Version of the configuration that routed it. */
  configVersion: number;
  /** The longest deadline seen so far from callers of this route, ms. */
  maxDeadlineMs: number;
}

export class CallerRequest {
  readonly head: InboundHead;
  readonly route: Route;
  readonly service: string;
  readonly claim: CallerIdentity;
  readonly body: Buffer;
  readonly arrivedAt: number;
  /** Instant of the caller's deadline or the route's timeout, if earlier, ms. */
  readonly deadlineAt: number;
  /** Cancelled when the caller disconnects or the deadline has passed. */
  readonly cancellation = new Cancellation();
  private readonly timer: NodeJS.Timeout;
  private readonly maxDeadlineMs: number;
  private knownDigest: string | undefined;
  private knownPartKeys: readonly string[] | undefined;
  private hasStartedResponse = false;
  private hasBegun = false;
  private earlyEnd: RequestFailure | undefined;
  /** Time from arrival to the start of the stream, ms. */
  private firstMs: number | undefined;
  /** Whether the caller disconnected before its response was complete. */
  isCallerGone = false;
  isPastDeadline = false;
  /** Whether it is a trial of a barred request, which is not retried. */
  isTrial = false;
  /** Called each time that it is written to a replica. */
  onWritten: () => void = () => undefined;
  /** Ids of the replicas that it was sent to, in order. */
  readonly sentTo: string[] = [];
  /** Sends among these that are proved to have run nothing. */
  private sendsNotRun = 0;
  /** How many retries were taken from the budget for it. */
  retries = 0;

  constructor(private readonly options: CallerRequestOptions) {
    const { head, route, service, body, arrivedAt, res, now } = options;
    this.head = head;
    this.route = route;
    this.service = service;
    this.claim = options.claim;
    this.body = body;
    this.arrivedAt = arrivedAt;
    this.maxDeadlineMs = options.maxDeadlineMs;
    const budgetMs = Math.min(
      head.deadlineMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    this.deadlineAt = arrivedAt + budgetMs;
    const left = Math.max(0, this.deadlineAt + LATE_ANSWER_GRACE_MS - now());
    this.timer = setTimeout(() => this.onDeadline(), left);
    res.on("close", () => this.onClose());
  }

  get res(): ServerResponse {
    return this.options.res;
  }

  /** Identifies equal requests: host, target, workspace and body. */
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

  /** Keys of the prompt parts that it shares with other requests. */
  get partKeys(): readonly string[] {
    this.knownPartKeys ??= sharedPartKeys(this.head.prompt?.parts ?? []);
    return this.knownPartKeys;
  }

  /** Whether it looks like a retry after a refusal: its deadline is shorter. */
  get isReturn(): boolean {
    const { deadlineMs } = this.head;
    return deadlineMs !== undefined && deadlineMs < this.maxDeadlineMs;
  }

  /** 0 is the most urgent. */
  get priority(): number {
    return urgencyRank(this.workspace?.priority, this.route.priority);
  }

  /** Name of the caller's workspace; empty if there is none. */
  get workspaceName(): string {
    return this.workspace?.name ?? "";
  }

  private get workspace(): Workspace | undefined {
    return this.claim.kind === "workspace" ? this.claim.workspace : undefined;
  }

  /** Records that a replica began to run it `agoMs` ago; counted once. */
  markBegun(agoMs = 0): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    const { workspace } = this;
    if (workspace !== undefined) this.options.onBegun(workspace.name, agoMs);
  }

  /** The last send has proved to have run nothing. */
  recordNotRun(): void {
    this.sendsNotRun += 1;
  }

  /** How many sends may have run it. */
  get possibleRuns(): number {
    return this.sentTo.length - this.sendsNotRun;
  }

  /** Time left until the deadline, ms; never negative. */
  leftMs(): number {
    return Math.max(0, this.deadlineAt - this.options.now());
  }

  elapsedMs(): number {
    return this.options.now() - this.arrivedAt;
  }

  /** Responds with a replica's complete reply. */
  sendWholeResponse(status: number, headers: string[], body: Buffer): void {
    if (!this.startResponse("answered")) return;
    headers.push("Content-Length", String(body.length));
    this.writeHead(status, headers);
    this.options.onSent?.(body.length);
    this.options.exchange.holdAnswer(body.length);
    this.res.end(body);
  }

  /** Sends the head of a streamed response; logged when the stream ends. */
  startStream(status: number, headers: string[]): void {
    if (this.hasStartedResponse) return;
    this.hasStartedResponse = true;
    if (this.res.destroyed) return this.recordOutcome("caller_gone");
    this.firstMs = Math.round(this.elapsedMs());
    this.countOutcome("streamed");
    this.writeHead(status, headers);
    this.res.flushHeaders();
  }

  /** Writes a part of a streamed response; false: wait for `drain`. */
  writePart(bytes: Buffer): boolean {
    const { exchange, onSent } = this.options;
    onSent?.(bytes.length);
    if (this.res.write(bytes)) return true;
    exchange.holdAnswer(this.res.writableLength);
    this.res.once("drain", () => exchange.releaseAnswer());
    return false;
  }

  /** Logs the end of a stream, also if its caller has disconnected. */
  endStream(outcome: string, figures: LogFields): void {
    this.logOutcome(outcome, { firstMs: this.firstMs, ...figures });
  }

  get isResponseStarted(): boolean {
    return this.hasStartedResponse;
  }

  /** Closes the connection, so that the response can't be taken as complete. */
  abort(why: string): void {
    this.recordOutcome("cut", { why });
    // A response without chunks is complete if its connection ends regularly.
    if (!this.res.chunkedEncoding) this.res.socket?.resetAndDestroy();
    this.res.destroy();
  }

  /**
   * Ends the request before its time. The caller gets `notRun` if nothing ran,
   * else the failure that its flow finds.
   */
  endEarly(notRun: RequestFailure): void {
    this.earlyEnd = notRun;
    this.cancellation.cancel();
  }

  fail(cause: RequestFailure): void {
    const failure =
      cause.verdict === "not-run" ? (this.earlyEnd ?? cause) : cause;
    if (this.hasStartedResponse) return this.abort(failure.message);
    const fields = {
      verdict: failure.verdict,
      status: failure.status,
      why: failure.message,
      retryAfterMs: failure.retryAfterMs,
    };
    if (!this.startResponse(failure.code, fields)) return;
    this.options.onSent?.(ANSWER_HEAD_BYTES);
    sendFailure(this.res, this.options.codec, failure, this.head.id);
  }

  /** Counts and logs the outcome of the request. */
  private recordOutcome(outcome: string, fields: LogFields = {}): void {
    this.countOutcome(outcome);
    this.logOutcome(outcome, fields);
  }

  private countOutcome(outcome: string): void {
    const { metrics } = this.options;
    const className = this.route.name;
    metrics.count("request", { class: className, outcome });
    const owner = this.workspace?.name ?? this.service;
    metrics.latency(className, owner, this.elapsedMs());
  }

  private logOutcome(outcome: string, fields: LogFields): void {
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
      retries: this.retries,
      // Computed on demand: set for requests that were on a replica that ended.
      digest: this.knownDigest,
      ...fields,
    });
  }

  private startResponse(outcome: string, fields: LogFields = {}): boolean {
    if (this.hasStartedResponse) return false;
    this.hasStartedResponse = true;
    if (this.res.destroyed) {
      this.recordOutcome("caller_gone");
      return false;
    }
    this.recordOutcome(outcome, fields);
    return true;
  }

  private writeHead(status: number, headers: string[]): void {
    this.res.sendDate = false;
    this.options.onSent?.(ANSWER_HEAD_BYTES);
    this.res.writeHead(status, headers);
  }

  private onDeadline(): void {
    this.isPastDeadline = true;
    this.cancellation.cancel();
  }

  private onClose(): void {
    clearTimeout(this.timer);
    if (this.res.writableFinished) return;
    this.isCallerGone = true;
    this.cancellation.cancel();
  }
}

/** Responds with a failure, unless the response has started or is closed. */
export const sendFailure = (
  res: ServerResponse,
  codec: RequestCodec,
  failure: RequestFailure,
  requestId: string,
): void => {
  if (res.headersSent || res.destroyed) return;
  const answer = codec.failureAnswer(failure, requestId);
  const length = String(Buffer.byteLength(answer.body));
  res.writeHead(answer.status, [...answer.headers, "Content-Length", length]);
  res.end(answer.body);
};
