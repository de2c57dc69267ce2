/**
 * The side's HTTP server for requests: admission, then the call to the
 * upstream.
 *
 * An entry first sends the head of a request (`Expect: 100-continue`), and its
 * body only after this side has admitted it. If the connection is lost before
 * that, the request has certainly not run.
 */
import http from "node:http";

import type { Admission } from "../admission/index.js";
import type {
  CallerBounds,
  CallerConnections,
  CallerExchange,
} from "../callers/index.js";
import { abortRequest, forwardedHeaders } from "../http/index.js";
import type { LoadReport } from "../routing/index.js";
import { HEADERS } from "../shared/constants.js";
import type { RequestFailure } from "../shared/errors.js";
import { errText, isSameSecret } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import type { SideSettings } from "../settings/index.js";
import {
  connectionLost,
  refused,
  sendFailure,
  unauthorized,
  wrongUpstream,
} from "./failures.js";
import type { CacheModel } from "./cacheModel.js";
import type { SideGate } from "./sideGate.js";
import type { SideReport } from "./sideReport.js";
import type { SideRequest } from "./types.js";
import { parseArrival, parsePrefixes } from "./requestHeaders.js";
import { StreamPace } from "./streamPace.js";
import { callUpstream } from "./upstreamCall.js";

const EXPIRE_PERIOD_MS = 50;
const DRAINING_RETRY_MS = 1000;
const BODY_TIMEOUT_MS = 60_000;

export interface DataServerOptions {
  settings: SideSettings;
  bounds: CallerBounds;
  admission: Admission;
  gate: SideGate;
  cache: CacheModel;
  log: Log;
  now: () => number;
  configNumber: () => number;
}

export class DataServer {
  readonly server: http.Server;
  private readonly connections: CallerConnections;
  private readonly queued = new Map<string, SideRequest>();
  private readonly agent = new http.Agent({ keepAlive: true });
  private readonly timer: NodeJS.Timeout;
  private sequence = 0;

  constructor(private readonly options: DataServerOptions) {
    const { limits } = options.settings;
    this.server = http.createServer(
      { maxHeaderSize: limits.maxHeaderBytes },
      (req, res) => this.onArrival(req, res),
    );
    this.server.on("checkContinue", (req, res) => this.onArrival(req, res));
    const { maxConnections } = limits;
    this.connections = options.bounds.guard(this.server, "entries", {
      maxConnections,
    });
    this.server.keepAliveTimeout = 0;
    this.server.requestTimeout = 0;
    this.timer = setInterval(() => this.admitWaiting(), EXPIRE_PERIOD_MS);
    options.gate.onChange(() => this.onGateChange());
  }

  close(): void {
    clearInterval(this.timer);
    this.agent.destroy();
    this.server.close();
    this.server.closeIdleConnections();
  }

  private onArrival(req: http.IncomingMessage, res: http.ServerResponse): void {
    this.connections.serve(req, res, (exchange) =>
      this.onRequest(req, res, exchange),
    );
  }

  private onRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    exchange: CallerExchange,
  ): void {
    const request = this.toSideRequest(req, res, exchange);
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) return this.refuse(request, refusal);
    res.on("close", () => this.onClosed(request));
    const { admission, now } = this.options;
    const answer = admission.arrive(request.arrival, now());
    switch (answer.kind) {
      case "admitted":
        return void this.receiveBody(request);
      case "queued":
        return void this.queued.set(request.id, request);
      case "refused":
        return this.refuse(request, refused(answer.why, answer.retryAfterMs));
    }
  }

  private toSideRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    exchange: CallerExchange,
  ): SideRequest {
    this.sequence += 1;
    const { cache, now } = this.options;
    const prefixes = parsePrefixes(req.headers);
    const cached = cache.cachedTokens(prefixes);
    const arrival = parseArrival(req.headers, this.sequence, cached, now());
    return {
      id: arrival.id,
      req,
      res,
      exchange,
      arrival,
      prefixes,
      pendingPrefixes: [],
    };
  }

  private refusalOf({ req }: SideRequest): RequestFailure | undefined {
    const { settings, gate } = this.options;
    const auth = String(req.headers[HEADERS.auth] ?? "");
    if (!isSameSecret(auth, settings.peers.secret)) return unauthorized();
    const requestedUpstream = String(req.headers[HEADERS.upstream] ?? "");
    if (requestedUpstream !== settings.upstream.id)
      return wrongUpstream(requestedUpstream);
    switch (gate.state) {
      case "open":
        return undefined;
      case "leaving":
        return refused("leaving", 0);
      case "draining":
      case "busy":
        return refused("draining", DRAINING_RETRY_MS);
    }
  }

  private refuse(request: SideRequest, failure: RequestFailure): void {
    sendFailure(request.res, failure, this.replyHeaders());
    request.exchange.discardBody(this.options.settings.limits.maxBodyBytes);
  }

  private replyHeaders(): Record<string, string> {
    const { gate, settings, configNumber } = this.options;
    return {
      [HEADERS.load]: JSON.stringify(this.load()),
      [HEADERS.upstream]: settings.upstream.id,
      [HEADERS.configNumber]: String(configNumber()),
      ...(gate.state === "leaving" ? { connection: "close" } : {}),
    };
  }

  /** Load report, sent with each response. */
  load(): LoadReport {
    const { admission, gate } = this.options;
    return {
      ...admission.work,
      role: gate.role,
      state: gate.state,
      paceMs: admission.paceMs,
    };
  }

  /** Exact current state, for entries that request it. */
  report(storeCalls: number): SideReport {
    const { admission, gate, settings, configNumber } = this.options;
    const { active, queued } = admission.work;
    return {
      upstream: settings.upstream.id,
      role: gate.role,
      state: gate.state,
      inFlight: active,
      queued,
      ...admission.totals,
      configNumber: configNumber(),
      storeCalls,
    };
  }

  private onGateChange(): void {
    const { gate, admission } = this.options;
    if (gate.state === "open") return;
    const code = gate.state === "leaving" ? "leaving" : "draining";
    for (const id of admission.refuseWaiting()) {
      const request = this.queued.get(id);
      this.queued.delete(id);
      if (request) this.refuse(request, refused(code, DRAINING_RETRY_MS));
    }
  }

  private onClosed(request: SideRequest): void {
    this.queued.delete(request.id);
    this.options.admission.remove(request.id);
    this.options.cache.remove(request.pendingPrefixes);
    this.options.gate.onRequestEnded();
    this.admitWaiting();
  }

  private admitWaiting(): void {
    const { admitted, expired } = this.options.admission.admitWaiting(
      this.options.now(),
    );
    for (const id of expired) {
      const request = this.queued.get(id);
      this.queued.delete(id);
      if (request) this.refuse(request, refused("deadline", 0));
    }
    for (const id of admitted) {
      const request = this.queued.get(id);
      this.queued.delete(id);
      if (request) void this.receiveBody(request);
    }
  }

  /**
   * Reports to admission the end of prefill, which is the first data of the
   * response, and the mean time between the events after it.
   */
  private observeStream(
    upstream: http.IncomingMessage,
    request: SideRequest,
  ): void {
    const { admission, now } = this.options;
    const pace = new StreamPace();
    upstream.once("data", () => {
      admission.prefillDone(request.id);
      request.pendingPrefixes = [];
    });
    upstream.on("data", (bytes: Buffer) => pace.onBytes(bytes, now()));
    upstream.on("end", () => {
      const paceMs = pace.paceMs(now());
      if (paceMs !== undefined) admission.observePace(paceMs);
    });
  }

  private async receiveBody(request: SideRequest): Promise<void> {
    const { res, exchange } = request;
    const { maxBodyBytes } = this.options.settings.limits;
    request.pendingPrefixes = this.options.cache.add(request.prefixes);
    res.writeContinue();
    let body: Buffer;
    try {
      body = await exchange.readBody(maxBodyBytes, BODY_TIMEOUT_MS);
    } catch (err) {
      // The body was not fully received, so nothing was sent to the upstream.
      this.options.log.debug("request body not read", {
        cause: errText(err),
      });
      return void res.destroy();
    }
    if (res.destroyed) return;
    await this.forward(request, body);
  }

  private async forward(request: SideRequest, body: Buffer): Promise<void> {
    const { req, res } = request;
    const { upstream } = this.options.settings;
    const result = await callUpstream({
      url: upstream.url,
      agent: this.agent,
      req,
      body,
      requestId: String(req.headers[HEADERS.requestId]),
      echoesRequestId: upstream.echoesRequestId,
      onRequest: (upstreamReq) => {
        res.on("close", () => abortRequest(upstreamReq, "given up"));
      },
    });
    if (result.kind === "failure") return this.refuse(request, result.failure);
    this.relay(request, result.res);
  }

  private relay(request: SideRequest, upstream: http.IncomingMessage): void {
    const { res } = request;
    res.writeHead(upstream.statusCode ?? 0, {
      ...forwardedHeaders(upstream.headers, () => false),
      ...(upstream.headers["content-length"] === undefined
        ? {}
        : { "content-length": upstream.headers["content-length"] }),
      ...this.replyHeaders(),
    });
    res.flushHeaders();
    this.observeStream(upstream, request);
    upstream.on("error", () => res.destroy());
    upstream.on("close", () => {
      // Closing without a last chunk tells the entry that the response is cut.
      if (!upstream.complete)
        res.destroy(new Error(connectionLost("cut").message));
    });
    upstream.pipe(res);
  }
}
