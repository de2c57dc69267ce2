/**
 * Orders stage changes while this process holds a service's lease. It takes the
 * demand from the scheduler, asks the planner for changes and sends orders: to
 * several engines at a time, at most one to each, with the lease epoch as the
 * fencing token.
 */
import type { EngineScheduler, Stage } from "../scheduling/index.js";
import { planStages, StageDemand, unevenEngines } from "../scheduling/index.js";
import type { StageChange } from "../scheduling/index.js";
import { TakeoverGuard } from "../placement/index.js";
import type { HolderAuthority } from "../placement/index.js";
import type { RateLimits } from "../rateLimits/index.js";
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Log } from "../telemetry/index.js";
import { isDifferentIncarnation } from "./replicaSet.js";
import type { ReplicaClient, SendPurpose } from "./replicaClient.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { ReplicaCall, RequestCodec } from "./requestCodec.js";
import type { Replica } from "./types.js";
import { readWholeBody } from "./upstreamReply.js";

/** Order timeout, ms. An order that timed out may still be executed. */
const ORDER_TIMEOUT_MS = 1500;
/** Timeout for a stage change to appear in the replica list, ms. */
const CHANGE_TIMEOUT_MS = 15_000;
/** Delay before the next attempt after a refused order, ms. */
const REFUSED_DELAY_MS = 1000;
/** Maximum orders of one step, each to a different engine. */
const MAX_ORDERS_PER_STEP = 4;
/** Limit on responses to orders and state reports, bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024;

/** Result of an order; `unknown`: it may still be executed. */
interface OrderOutcome {
  kind: "accepted" | "refused" | "unknown";
  why: string;
}

/** Interval between log lines on uneven engines, ms. */
const UNEVEN_LOG_INTERVAL_MS = 10_000;

export interface StageControllerOptions {
  service: string;
  self: string;
  leaseMs: number;
  scheduler: EngineScheduler;
  replicas: ReplicaSet;
  authority: HolderAuthority;
  client: ReplicaClient;
  rates: Pick<RateLimits, "isThrottling">;
  codec: RequestCodec;
  log: Log;
  now: () => number;
}

interface PendingChange {
  to: Stage;
  since: number;
}

export class StageController {
  private readonly pendingChanges = new Map<string, PendingChange>();
  private readonly lastChange = { prefill: -Infinity, decode: -Infinity };
  private refusedUntil = 0;
  private loggedAt = -Infinity;
  private readonly guard: TakeoverGuard;
  private readonly demand = new StageDemand();

  constructor(private readonly options: StageControllerOptions) {
    const { authority, service, leaseMs } = options;
    this.guard = new TakeoverGuard(authority, service, leaseMs);
  }

  async step(): Promise<void> {
    const { now, scheduler } = this.options;
    this.demand.measure(
      scheduler.demandTotals,
      scheduler.engineStates(),
      now(),
    );
    this.pruneChanges(now());
    this.logUnevenEngines(now());
    const mayOrder = this.guard.fencingEpoch(now()) !== undefined;
    if (!mayOrder || now() < this.refusedUntil) return;
    const changes: StageChange[] = [];
    while (changes.length < MAX_ORDERS_PER_STEP) {
      const change = this.plan(now());
      if (change === undefined) break;
      this.begin(change);
      changes.push(change);
    }
    await Promise.all(changes.map((change) => this.order(change)));
  }

  private logUnevenEngines(now: number): void {
    if (now - this.loggedAt < UNEVEN_LOG_INTERVAL_MS) return;
    const { scheduler, service, log } = this.options;
    const engines = unevenEngines(scheduler.engineStates(), now);
    if (engines.length === 0) return;
    this.loggedAt = now;
    log.info("engines slow or with more runs than slots", {
      service,
      engines: engines
        .map(
          ({ engine, prefillTime, runs, slots }) =>
            `${engine} ${prefillTime}x ${runs}/${slots}`,
        )
        .join(", "),
    });
  }

  /** Marks the change as in progress. */
  private begin({ id, to }: StageChange): void {
    const { scheduler, now } = this.options;
    const since = now();
    this.pendingChanges.set(id, { to, since });
    this.lastChange[to] = since;
    scheduler.suspendEngine(id, since + CHANGE_TIMEOUT_MS);
  }

  /** Drops changes that are done, timed out or whose replica is gone. */
  private pruneChanges(now: number): void {
    const { scheduler, replicas, log } = this.options;
    for (const [id, { to, since }] of this.pendingChanges) {
      const replica = replicas.get(id);
      const isDone = replica?.stage === to;
      const isTimedOut = now - since > CHANGE_TIMEOUT_MS;
      if (replica !== undefined && !isDone && !isTimedOut) continue;
      this.pendingChanges.delete(id);
      scheduler.suspendEngine(id, 0);
      log.info("change of stage ended", {
        replica: id,
        to,
        isDone,
        tookMs: Math.round(now - since),
      });
    }
  }

  private plan(now: number): StageChange | undefined {
    const { scheduler, replicas, rates } = this.options;
    const { demand } = this;
    // An engine that backs off, or whose rate limit is below its load, counts as
    // unavailable for now and accepts no order.
    const engines = scheduler
      .engineStates()
      .filter(
        ({ view }) =>
          replicas.signals.refusal(view.id, now) === undefined &&
          !rates.isThrottling(view.id, now),
      );
    return planStages({
      engines: engines.map((engine) => ({
        ...engine.view,
        runs: engine.runCount,
        runTokens: engine.runTokens,
        changingTo: this.pendingChanges.get(engine.view.id)?.to,
      })),
      prefillDemand: demand.prefillEngines,
      decodePrefillDemand: demand.decodePrefillEngines,
      peakRuns: demand.peakRuns,
      peakRunTokens: demand.peakRunTokens,
      sinceChangeToPrefillMs: now - this.lastChange.prefill,
      sinceChangeToDecodeMs: now - this.lastChange.decode,
    });
  }

  private async order({ id, to, why }: StageChange): Promise<void> {
    const { service, authority, replicas, scheduler, log, now } = this.options;
    const replica = replicas.get(id);
    if (replica === undefined) return;
    const fence = authority.epoch(service);
    const outcome = await this.send(replica, to, fence);
    log.info("change of stage ordered", {
      service,
      replica: id,
      to,
      fence,
      why,
      outcome: outcome.kind,
      answer: outcome.why,
    });
    if (outcome.kind !== "refused") return;
    this.pendingChanges.delete(id);
    scheduler.suspendEngine(id, 0);
    this.refusedUntil = now() + REFUSED_DELAY_MS;
  }

  private async send(
    replica: Replica,
    stage: Stage,
    fence: number,
  ): Promise<OrderOutcome> {
    const { codec, self, service, authority, replicas, now } = this.options;
    const reported = await this.call(
      replica,
      codec.reportCall(replica),
      "question",
    );
    if (reported.kind !== "accepted") return { ...reported, kind: "refused" };
    const report = codec.readReport(reported.why);
    if (report.isBusy)
      return { kind: "refused", why: "engine is executing another order" };
    if (isDifferentIncarnation(replica, report)) {
      replicas.markMisdirected(replica.id, now());
      return { kind: "refused", why: "engine has restarted" };
    }
    const { orders } = report;
    const order = codec.stageOrder(replica, stage, self, fence, orders);
    if (!authority.isFresh(service) || authority.epoch(service) !== fence) {
      return {
        kind: "refused",
        why: "lease is not fresh or its epoch has changed",
      };
    }
    return this.call(replica, order, "work");
  }

  /** If accepted, `why` is the body of the response. */
  private async call(
    replica: Replica,
    call: ReplicaCall,
    purpose: SendPurpose,
  ): Promise<OrderOutcome> {
    const cancellation = new BoundedCancellation(undefined, ORDER_TIMEOUT_MS);
    const request = { ...call, purpose, cancellation };
    try {
      const sent = await this.options.client.send(replica, request);
      if (sent.kind === "failed") {
        const kind = sent.verdict === "not-run" ? "refused" : "unknown";
        return { kind, why: sent.why };
      }
      const { status } = sent.head;
      if (sent.kind === "refused")
        return { kind: "refused", why: `status ${status}` };
      const whole = await readWholeBody(sent.reply, MAX_RESPONSE_BYTES);
      const text = whole.kind === "whole" ? whole.body.toString("utf8") : "";
      const isGood = status >= 200 && status < 300;
      if (isGood) return { kind: "accepted", why: text };
      return { kind: "refused", why: `status ${status} ${text}`.trim() };
    } finally {
      cancellation.dispose();
    }
  }
}
