/**
 * HTTP server for callers: decodes and routes each request, reads its body and
 * passes it to the plain or the stream flow.
 */
import http from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

import { BodyTimeoutError, NoRoomError } from "../callers/index.js";
import type {
  CallerBounds,
  CallerConnections,
  CallerExchange,
} from "../callers/index.js";
import { BodyTooLargeError } from "../http/index.js";
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
import { deadlineFailure } from "./verdicts.js";
import { checkKey } from "../workspaces/index.js";
import type { KeyBounds, CallerIdentity } from "../workspaces/index.js";

/** Header size limit until a configuration is known, bytes. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Smallest field of a header with its line end, bytes. */
const MIN_FIELD_BYTES = 4;
/** Interval of looking for heads that take too long, ms. */
const CHECK_INTERVAL_MS = 1000;
/**
 * Added to the configured timeouts, ms: callers reuse connections until shortly
 * before their idle timeout.
 */
const IDLE_MARGIN_MS = 2000;
/** Retry delay for callers while no configuration is known, ms. */
const NO_CONFIG_RETRY_MS = 500;

/** Retry delay for callers whose body there is no room for, ms. */
const NO_ROOM_RETRY_MS = 500;
/** Retry delay while another process may know more, ms. */
const RETRY_ELSEWHERE_MS = 100;
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
  bounds: CallerBounds;
  keyBounds: KeyBounds;
  /** Whether this process's last read of the configuration has failed. */
  isConfigLost(): boolean;
  /** Called once a request of a workspace has begun to run, `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void;
  plain: RequestRunner;
  stream: RequestRunner;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
}

/** A request as it came in. */
interface Inbound {
  req: IncomingMessage;
  res: ServerResponse;
  exchange: CallerExchange;
  arrivedAt: number;
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

const NO_ROOM: RequestFailure = {
  ...failure(503, "overloaded", "callers hold too much of this process"),
  retryAfterMs: NO_ROOM_RETRY_MS,
};

const UNKNOWN_ROUTE = failure(404, "unknown_route", "no route fits");

const ROUTES_UNPROVEN: RequestFailure = {
  ...failure(
    503,
    "routes_unproven",
    "no route fits, and this process can't prove that its routes are new enough",
  ),
  retryAfterMs: RETRY_ELSEWHERE_MS,
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
  private readonly connections: CallerConnections;
  private drain: Drain | undefined;
  /** Requests that a flow serves. */
  private readonly serving = new Set<CallerRequest>();
  /** Longest deadline that callers sent, ms, by route. */
  private readonly maxDeadlines = new Map<string, number>();

  constructor(private readonly options: GatewayServerOptions) {
    this.http = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
      },
      (req, res) => this.onRequest(req, res),
    );
    this.connections = options.bounds.guard(this.http, "callers");
  }

  /** Requests without a complete response. */
  get inFlight(): number {
    return this.connections.inFlight;
  }

  setLimits(limits: CallerLimits): void {
    const { headerTimeoutMs, idleTimeoutMs, maxHeaderBytes } = limits;
    this.http.headersTimeout = headerTimeoutMs + IDLE_MARGIN_MS;
    this.http.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    this.http.maxHeadersCount = Math.ceil(maxHeaderBytes / MIN_FIELD_BYTES);
  }

  /**
   * Starts a graceful shutdown: each response closes its connection, and after
   * `acceptsAllUntil` only requests that end before the process are accepted.
   */
  beginDrain(drain: Drain): void {
    this.drain = drain;
  }

  /** Ends all requests in flight; callers get a final answer where they can. */
  endRequests(): void {
    for (const caller of [...this.serving]) caller.endEarly(STOPPING);
  }

  private onRequest(req: IncomingMessage, res: ServerResponse): void {
    if (this.drain !== undefined) res.setHeader("Connection", "close");
    const arrivedAt = this.options.now();
    this.connections.serve(req, res, (exchange) => {
      this.serve({ req, res, exchange, arrivedAt }).catch((err) => {
        this.options.log.error("request handler failed", { why: errText(err) });
        res.destroy();
      });
    });
  }

  private async serve(inbound: Inbound): Promise<void> {
    const { codec, state } = this.options;
    if (inbound.exchange.isRefused) return this.refuse(inbound, "", NO_ROOM);
    const head = codec.decode(inbound.req);
    if (isFailure(head)) return this.refuse(inbound, "", head);
    const table = state.routes;
    if (table === undefined) return this.refuse(inbound, head.id, NO_CONFIG);
    const destination = this.resolveDestination(head, table);
    if ("verdict" in destination)
      return this.refuse(inbound, head.id, destination);
    const body = await this.readBody(inbound, head, destination.route);
    if (body === undefined) return;
    const caller = this.createCallerRequest(inbound, head, destination, body);
    const isEngine = table.service(destination.service)?.engine !== undefined;
    const flow = isEngine ? this.options.stream : this.options.plain;
    const { quarantine } = this.options;
    const quarantineRefusal = await quarantine.admit(caller);
    if (quarantineRefusal !== undefined) return caller.fail(quarantineRefusal);
    this.serving.add(caller);
    try {
      await flow.run(caller);
    } finally {
      this.serving.delete(caller);
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
      return this.mayLackRoutes ? ROUTES_UNPROVEN : UNKNOWN_ROUTE;
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

  /** Whether newer routes may be in force than this process knows. */
  private get mayLackRoutes(): boolean {
    const { state, keyBounds, isConfigLost } = this.options;
    return isConfigLost() && state.proofAgeMs > keyBounds.applyMs;
  }

  private accepts(route: Route, head: InboundHead): boolean {
    if (this.drain === undefined) return true;
    const now = this.options.now();
    const { acceptsAllUntil, endsAt } = this.drain;
    if (now < acceptsAllUntil) return true;
    return now + budgetMs(route, head) < endsAt;
  }

  private createCallerRequest(
    { res, exchange, arrivedAt }: Inbound,
    head: InboundHead,
    { route, service, claim }: Destination,
    body: Buffer,
  ): CallerRequest {
    const { codec, log, metrics, now, budgets, onBegun } = this.options;
    budgets.recordRequest(service);
    return new CallerRequest({
      res,
      exchange,
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

  /** Undefined: the request is refused or cut. */
  private async readBody(
    inbound: Inbound,
    head: InboundHead,
    route: Route,
  ): Promise<Buffer | undefined> {
    const waitedMs = this.options.now() - inbound.arrivedAt;
    const leftMs = Math.max(0, budgetMs(route, head) - waitedMs);
    try {
      return await inbound.exchange.readBody(this.maxBodyBytes, leftMs);
    } catch (err) {
      const why = bodyFailure(err);
      if (why === undefined) inbound.res.destroy();
      else this.refuse(inbound, head.id, why);
      return undefined;
    }
  }

  private get maxBodyBytes(): number {
    return this.options.state.routes?.config.limits.maxBodyBytes ?? 0;
  }

  private refuse(
    { req, res, exchange }: Inbound,
    id: string,
    why: RequestFailure,
  ): void {
    const { codec, log, metrics } = this.options;
    metrics.count("request", { class: "none", outcome: why.code });
    log.info("request", {
      requestId: id,
      outcome: why.code,
      why: why.message,
      host: req.headers.host,
      configuration: this.options.state.routes?.version,
    });
    sendFailure(res, codec, why, id);
    exchange.discardBody(this.maxBodyBytes);
  }
}

/** The time that a request has from its arrival, ms. */
const budgetMs = (route: Route, { deadlineMs }: InboundHead): number =>
  Math.min(deadlineMs ?? route.timeoutMs, route.timeoutMs);

/** Why a body was not read; undefined if its connection is closed. */
const bodyFailure = (err: unknown): RequestFailure | undefined => {
  if (err instanceof BodyTooLargeError)
    return failure(413, "body_too_large", err.message);
  if (err instanceof NoRoomError) return NO_ROOM;
  if (err instanceof BodyTimeoutError) return deadlineFailure("not-run");
  return undefined;
};
