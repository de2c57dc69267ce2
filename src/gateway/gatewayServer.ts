/**
 * HTTP server for callers: decodes and routes each request, reads its body and
 * passes it to the plain or the stream flow.
 */
import http from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

import { BodyTooLargeError, readBody } from "../http/index.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Rng } from "../shared/rng.js";
import { errText } from "../shared/utils.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { CallerRequest, sendFailure } from "./callerRequest.js";
import type { EntryLink } from "./entryLink.js";
import type { GatewayState } from "./gatewayState.js";
import type { QuarantineManager } from "./quarantineManager.js";
import { isFailure } from "./requestCodec.js";
import type { RequestCodec } from "./requestCodec.js";
import type { RetryBudgets } from "./retryBudgets.js";
import { drawService } from "./routeTable.js";
import type { RouteTable } from "./routeTable.js";
import type { CallerLimits, InboundHead, Route } from "./types.js";
import { checkKey } from "../workspaces/index.js";
import type { KeyBounds, CallerIdentity } from "../workspaces/index.js";

/** Header size limit, bytes; above what the configuration allows callers. */
const MAX_HEADER_BYTES = 64 * 1024;
/**
 * Added to the configured timeouts, ms: callers reuse connections until shortly
 * before their idle timeout.
 */
const IDLE_MARGIN_MS = 2000;
/** Retry delay for callers while no configuration is known, ms. */
const NO_CONFIG_RETRY_MS = 500;

/** Retry delay while this process stops, ms; another then takes the request. */
const STOPPING_RETRY_MS = 100;

/** Serves a request whose service has been chosen. */
export interface RequestRunner {
  run(caller: CallerRequest): Promise<void>;
}

export interface GatewayServerOptions {
  state: GatewayState;
  codec: RequestCodec;
  budgets: RetryBudgets;
  quarantine: Pick<QuarantineManager, "admit" | "onRequestEnd">;
  link: Pick<EntryLink, "onAnswered">;
  keyBounds: KeyBounds;
  /** Called once a request of a workspace has begun to run, `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void;
  plain: RequestRunner;
  stream: RequestRunner;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
}

/** Result of routing and the key check, before the body is read. */
interface Destination {
  route: Route;
  service: string;
  claim: CallerIdentity;
}

const failure = (
  status: number,
  code: RequestFailure["code"],
  message: string,
): RequestFailure => ({ status, code, message, verdict: "not-run" });

const NO_CONFIG: RequestFailure = {
  ...failure(503, "no_configuration", "no configuration is known yet"),
  retryAfterMs: NO_CONFIG_RETRY_MS,
};

const STOPPING: RequestFailure = {
  ...failure(503, "leaving", "this process is about to stop"),
  retryAfterMs: STOPPING_RETRY_MS,
};

/** Schedule of a graceful shutdown; instants in ms. */
export interface Drain {
  /** From then on, only requests that end before `endsAt` are accepted. */
  acceptsAllUntil: number;
  endsAt: number;
}

export class GatewayServer {
  readonly http: Server;
  /** Requests without a complete response. */
  inFlight = 0;
  private drain: Drain | undefined;
  /** Longest deadline that callers sent, ms, by route. */
  private readonly maxDeadlines = new Map<string, number>();

  constructor(private readonly options: GatewayServerOptions) {
    this.http = http.createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0 },
      (req, res) => this.onRequest(req, res),
    );
  }

  setLimits(limits: CallerLimits): void {
    this.http.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS;
    this.http.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /**
   * Starts a graceful shutdown: each response closes its connection, and after
   * `acceptsAllUntil` only requests that end before the process are accepted.
   */
  beginDrain(drain: Drain): void {
    this.drain = drain;
  }

  private onRequest(req: IncomingMessage, res: ServerResponse): void {
    this.inFlight += 1;
    const { socket } = req;
    // Node closes only the response whose turn it is on the connection.
    const closeWaiting = () => {
      if (res.socket === null) res.emit("close");
    };
    socket.once("close", closeWaiting);
    res.once("close", () => {
      this.inFlight -= 1;
      socket.off("close", closeWaiting);
    });
    if (this.drain !== undefined) res.setHeader("Connection", "close");
    this.serve(req, res).catch((err) => {
      this.options.log.error("request handler failed", { why: errText(err) });
      res.destroy();
    });
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { codec, state, now } = this.options;
    const arrivedAt = now();
    const head = codec.decode(req);
    if (isFailure(head)) return this.refuse(req, res, "", head);
    const table = state.routes;
    if (table === undefined) return this.refuse(req, res, head.id, NO_CONFIG);
    const destination = this.resolveDestination(head, table);
    if ("verdict" in destination)
      return this.refuse(req, res, head.id, destination);
    const limit = table.config.limits.maxBodyBytes;
    const body = await this.readBody(req, res, head, limit);
    if (body === undefined) return;
    const caller = this.createCallerRequest(
      res,
      head,
      destination,
      body,
      arrivedAt,
    );
    const isEngine = table.service(destination.service)?.engine !== undefined;
    const flow = isEngine ? this.options.stream : this.options.plain;
    const { quarantine } = this.options;
    const quarantineRefusal = await quarantine.admit(caller);
    if (quarantineRefusal !== undefined) return caller.fail(quarantineRefusal);
    try {
      await flow.run(caller);
    } finally {
      void quarantine.onRequestEnd(caller);
    }
  }

  /** Finds the route, service and workspace, or why it is refused. */
  private resolveDestination(
    head: InboundHead,
    table: RouteTable,
  ): Destination | RequestFailure {
    const { state, rng, keyBounds } = this.options;
    const route = table.match(head.host, head.target);
    const service = route && drawService(route, head, rng);
    if (route === undefined || service === undefined) {
      return failure(404, "unknown_route", "no route fits");
    }
    const verdict = checkKey({
      keyring: table.keyring,
      isPublic: route.isPublic,
      digest: head.keyDigest,
      proofAgeMs: state.proofAgeMs,
      bounds: keyBounds,
    });
    if (verdict.kind === "refused") return verdict.failure;
    if (!this.accepts(route, head)) return STOPPING;
    return { route, service, claim: verdict.claim };
  }

  private accepts(route: Route, head: InboundHead): boolean {
    if (this.drain === undefined) return true;
    const now = this.options.now();
    const { acceptsAllUntil, endsAt } = this.drain;
    if (now < acceptsAllUntil) return true;
    const budgetMs = Math.min(
      head.deadlineMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    return now + budgetMs < endsAt;
  }

  private createCallerRequest(
    res: ServerResponse,
    head: InboundHead,
    { route, service, claim }: Destination,
    body: Buffer,
    arrivedAt: number,
  ): CallerRequest {
    const { codec, log, metrics, now, budgets, onBegun } = this.options;
    budgets.recordRequest(service);
    return new CallerRequest({
      res,
      head,
      route,
      service,
      claim,
      body,
      arrivedAt,
      onBegun,
      codec,
      log,
      metrics,
      now,
      onSent: (bytes) => this.options.link.onAnswered(bytes),
      configVersion: this.options.state.routes?.version ?? 0,
      maxDeadlineMs: this.maxDeadlineOf(route, head),
    });
  }

  private maxDeadlineOf(route: Route, head: InboundHead): number {
    const known = this.maxDeadlines.get(route.name) ?? 0;
    const longest = Math.max(known, head.deadlineMs ?? 0);
    if (longest > known) this.maxDeadlines.set(route.name, longest);
    return longest;
  }

  private async readBody(
    req: IncomingMessage,
    res: ServerResponse,
    head: InboundHead,
    limit: number,
  ): Promise<Buffer | undefined> {
    try {
      return await readBody(req, limit);
    } catch (err) {
      if (!(err instanceof BodyTooLargeError)) {
        res.destroy();
        return undefined;
      }
      const tooLarge = failure(413, "body_too_large", err.message);
      this.refuse(req, res, head.id, tooLarge);
      return undefined;
    }
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    id: string,
    why: RequestFailure,
  ): void {
    const { codec, log, metrics } = this.options;
    metrics.count("request", { class: "none", outcome: why.code });
    log.info("request", {
      requestId: id,
      outcome: why.code,
      host: req.headers.host,
      configuration: this.options.state.routes?.version,
    });
    req.resume();
    sendFailure(res, codec, why, id);
  }
}
