/** HTTP server for callers' requests. */
import http from "node:http";

import type { ConfigState } from "../config/index.js";
import { BodyTimeoutError, NoRoomError } from "../callers/index.js";
import type {
  CallerBounds,
  CallerConnections,
  CallerExchange,
} from "../callers/index.js";
import { BodyTooLargeError, sendJson } from "../http/index.js";
import { errText } from "../shared/utils.js";
import type { EntrySettings } from "../settings/index.js";
import type { Log } from "../telemetry/index.js";
import {
  bodyTooLargeFailure,
  deadlineFailure,
  noConfigurationFailure,
  noRoomFailure,
  sendCallerFailure,
} from "./callerFailure.js";
import { newRequestId } from "./requestFlow.js";
import type { RequestFlow } from "./requestFlow.js";
import type { CallerRequest } from "./types.js";
import { planRequest } from "./requestPlan.js";

const HEADERS_TIMEOUT_MS = 10_000;
const BODY_TIMEOUT_MS = 60_000;
/** Interval of looking for heads that take too long, ms. */
const CHECK_INTERVAL_MS = 1000;
/** Smallest field of a header with its line end, bytes. */
const MIN_FIELD_BYTES = 4;

export interface CallerServerOptions {
  settings: EntrySettings;
  bounds: CallerBounds;
  flow: RequestFlow;
  config: () => ConfigState | undefined;
  log: Log;
  now: () => number;
}

export class CallerServer {
  readonly server: http.Server;
  private readonly connections: CallerConnections;
  private isLeaving = false;
  private inFlight = 0;
  private onIdle: (() => void) | undefined;

  constructor(private readonly options: CallerServerOptions) {
    const { limits } = options.settings;
    this.server = http.createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: BODY_TIMEOUT_MS,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
      },
      (req, res) =>
        this.connections.serve(
          req,
          res,
          (exchange) => void this.onRequest(req, res, exchange),
        ),
    );
    const { maxHeaderBytes, maxConnections } = limits;
    this.server.maxHeadersCount = Math.ceil(maxHeaderBytes / MIN_FIELD_BYTES);
    const { bounds } = options;
    this.connections = bounds.guard(this.server, "callers", { maxConnections });
  }

  /** Whether the load balancer should send requests to this entry. */
  get isReady(): boolean {
    return !this.isLeaving && this.options.config() !== undefined;
  }

  /** Reports not ready from now on; requests are still processed. */
  startLeaving(): void {
    this.isLeaving = true;
  }

  /** Closes the listener and resolves when no request is in flight. */
  closeWhenIdle(): Promise<void> {
    this.server.close();
    this.server.closeIdleConnections();
    if (this.inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => (this.onIdle = resolve));
  }

  private async onRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    exchange: CallerExchange,
  ): Promise<void> {
    if (this.isLeaving) res.setHeader("connection", "close");
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    if (path === "/healthz" || path === "/readyz") {
      this.answerProbe(res, path);
      return exchange.discardBody(0);
    }
    this.inFlight += 1;
    res.on("close", () => this.onClosed());
    const id = newRequestId();
    try {
      await this.serve({ id, req, res, exchange }, path);
    } catch (err) {
      this.onRequestError(res, id, err);
    }
    exchange.discardBody(this.options.settings.limits.maxBodyBytes);
  }

  private answerProbe(res: http.ServerResponse, path: string): void {
    if (path === "/healthz") return sendJson(res, 200, { ok: true });
    sendJson(res, this.isReady ? 200 : 503, { ready: this.isReady });
  }

  private onClosed(): void {
    this.inFlight -= 1;
    if (this.inFlight === 0) this.onIdle?.();
  }

  private async serve(
    { id, req, res, exchange }: Omit<CallerRequest, "plan" | "arrivedAt">,
    path: string,
  ): Promise<void> {
    const arrivedAt = this.options.now();
    const state = this.options.config();
    if (state === undefined) {
      return sendCallerFailure(res, id, noConfigurationFailure());
    }
    if (path === "/v1/models" && req.method === "GET") {
      return sendJson(res, 200, modelList(state));
    }
    const { maxBodyBytes } = this.options.settings.limits;
    const body = await exchange.readBody(maxBodyBytes, BODY_TIMEOUT_MS);
    const result = planRequest(state.config, {
      method: req.method ?? "GET",
      path,
      headers: req.headers,
      body,
    });
    if (result.kind === "failure") {
      return sendCallerFailure(res, id, result.failure);
    }
    const { plan } = result;
    await this.options.flow.run({ id, req, res, exchange, plan, arrivedAt });
  }

  private onRequestError(
    res: http.ServerResponse,
    id: string,
    err: unknown,
  ): void {
    if (err instanceof BodyTooLargeError)
      return sendCallerFailure(res, id, bodyTooLargeFailure(err.message));
    if (err instanceof NoRoomError)
      return sendCallerFailure(res, id, noRoomFailure(err.message));
    if (err instanceof BodyTimeoutError)
      return sendCallerFailure(res, id, deadlineFailure("not-run"));
    this.options.log.error("request handler failed", {
      requestId: id,
      cause: errText(err),
    });
    res.destroy();
  }
}

const modelList = ({ config }: ConfigState) => ({
  object: "list",
  data: config.services.flatMap((service) =>
    service.models.map(({ name, version }) => ({
      id: name,
      object: "model",
      created: 0,
      owned_by: service.name,
      version,
    })),
  ),
});
