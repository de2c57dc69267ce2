/** Takes callers' requests: head, route, body, and the flow that serves it. */
import http from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

import { BodyTooLargeError, readBody } from "../http/index.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Rng } from "../shared/rng.js";
import { errText } from "../shared/utils.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { CallerRequest, sendFailure } from "./callerRequest.js";
import type { GatewayState } from "./gatewayState.js";
import type { QuarantineManager } from "./quarantineManager.js";
import { isFailure } from "./requestCodec.js";
import type { RequestCodec } from "./requestCodec.js";
import type { RetryBudgets } from "./retryBudgets.js";
import { drawService } from "./routeTable.js";
import type { RouteTable } from "./routeTable.js";
import type { CallerLimits, InboundHead, Route } from "./types.js";
import { checkKey } from "../workspaces/index.js";
import type { KeyBounds, KeyClaim } from "../workspaces/index.js";

/** Room for headers beyond what the configuration allows callers, bytes. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Callers reuse connections until close to their idle time, ms. */
const IDLE_MARGIN_MS = 2000;
/** When to come back while no configuration is known, ms. */
const NO_CONFIG_RETRY_MS = 500;

/** Another process answers then, ms. */
const STOPPING_RETRY_MS = 100;

/** Serves one request whose service has been drawn. */
export interface RequestRunner {
  run(caller: CallerRequest): Promise<void>;
}

export interface GatewayServerOptions {
  state: GatewayState;
  codec: RequestCodec;
  budgets: RetryBudgets;
  quarantine: Pick<QuarantineManager, "admit" | "onRequestEnd">;
  keyBounds: KeyBounds;
  /** A request of a workspace began to run `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void;
  plain: RequestRunner;
  stream: RequestRunner;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
}

/** What was found for a request before its body is read. */
interface Destination {
  route: Route;
  service: string;
  claim: KeyClaim;
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

/** Instants of a planned stop, ms. */
export interface Drain {
  acceptsAllUntil: number;
  endsAt: number;
}

export class GatewayServer {
  readonly http: Server;
  /** Requests that are not answered yet. */
  inFlight = 0;
  private drain: Drain | undefined;
  /** Longest time that callers gave, ms, by route. */
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
   * From now on each answer closes its connection, and after a while only
   * requests are taken that end before the process does.
   */
  beginDrain(drain: Drain): void {
    this.drain = drain;
  }

  private onRequest(req: IncomingMessage, res: ServerResponse): void {
    this.inFlight += 1;
    let isOver = false;
    res.once("close", () => {
      if (!isOver) this.inFlight -= 1;
      isOver = true;
    });
    if (this.drain !== undefined) res.setHeader("Connection", "close");
    this.serve(req, res).catch((err) => {
      this.options.log.error("request threw", { why: errText(err) });
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
    const barred = await quarantine.admit(caller);
    if (barred !== undefined) return caller.fail(barred);
    try {
      await flow.run(caller);
    } finally {
      quarantine.onRequestEnd(caller);
    }
  }

  /** Where it goes and for whom it runs, or why it is refused. */
  private resolveDestination(
    head: InboundHead,
    table: RouteTable,
  ): Destination | RequestFailure {
    const { state, rng, keyBounds } = this.options;
    const route = table.match(head.host, head.target);
    const service = route && drawService(route, rng);
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
