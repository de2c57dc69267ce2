/**
 * Orders changes of stage while this process holds a service's lease: takes
 * the demand from its scheduler, asks the planner, and sends one order at a
 * time to an engine, to a few engines at once, with the lease's epoch as
 * fencing number.
 */
import type { EngineScheduler, Stage } from "../scheduling/index.js";
import { planStages, StageDemand } from "../scheduling/index.js";
import type { StageChange } from "../scheduling/index.js";
import { TakeoverGuard } from "../placement/index.js";
import type { HolderAuthority } from "../placement/index.js";
import type { RateLimits } from "../rateLimits/index.js";
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Log } from "../telemetry/index.js";
import { isOtherLife } from "./replicaSet.js";
import type { ReplicaClient, SendPurpose } from "./replicaClient.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { ReplicaCall, RequestForm } from "./requestForm.js";
import type { Replica } from "./types.js";
import { readWholeBody } from "./upstreamClient.js";

/** An order without an answer by then may or may not be carried out, ms. */
const ORDER_MS = 1500;
/** A change that has not shown by then is given up, ms. */
const CHANGE_LOST_MS = 15_000;
/** No order for this long after one was refused, ms. */
const REFUSED_PAUSE_MS = 1000;
/** Orders of one step at the most, each to another engine. */
const ORDERS_AT_ONCE = 4;
/** Answers to orders are short. */
const MAX_ANSWER_BYTES = 16 * 1024;

/** What became of an order; `unknown`: it may be carried out later. */
interface OrderOutcome {
  kind: "accepted" | "refused" | "unknown";
  why: string;
}

export interface StageKeeperOptions {
  service: string;
  self: string;
  leaseMs: number;
  scheduler: EngineScheduler;
  replicas: ReplicaSet;
  authority: HolderAuthority;
  client: ReplicaClient;
  rates: Pick<RateLimits, "isThrottling">;
  form: RequestForm;
  log: Log;
  now: () => number;
}

interface Changing {
  to: Stage;
  since: number;
}

export class StageKeeper {
  private readonly changing = new Map<string, Changing>();
  private readonly lastChange = { prefill: -Infinity, decode: -Infinity };
  private refusedUntil = 0;
  private readonly guard: TakeoverGuard;
  private readonly demand = new StageDemand();

  constructor(private readonly options: StageKeeperOptions) {
    const { authority, service, leaseMs } = options;
    this.guard = new TakeoverGuard(authority, service, leaseMs);
  }

  async step(): Promise<void> {
    const { now, scheduler } = this.options;
    this.demand.measure(scheduler.asked, scheduler.engineStates(), now());
    this.settleChanges(now());
    const mayOrder = this.guard.fencingEpoch(now()) !== undefined;
    if (!mayOrder || now() < this.refusedUntil) return;
    const changes: StageChange[] = [];
    while (changes.length < ORDERS_AT_ONCE) {
      const change = this.plan(now());
      if (change === undefined) break;
      this.begin(change);
      changes.push(change);
    }
    await Promise.all(changes.map((change) => this.order(change)));
  }

  /** From now on the change counts as under way. */
  private begin({ id, to }: StageChange): void {
    const { scheduler, now } = this.options;
    const since = now();
    this.changing.set(id, { to, since });
    this.lastChange[to] = since;
    scheduler.close(id, since + CHANGE_LOST_MS);
  }

  /** Forgets changes that have shown in the list, or never will. */
  private settleChanges(now: number): void {
    const { scheduler, replicas, log } = this.options;
    for (const [id, { to, since }] of this.changing) {
      const replica = replicas.get(id);
      const isDone = replica?.stage === to;
      const isLost = now - since > CHANGE_LOST_MS;
      if (replica !== undefined && !isDone && !isLost) continue;
      this.changing.delete(id);
      scheduler.close(id, 0);
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
    // One that backs off, or takes fewer than it would get, is lost for the
    // while, and takes no order.
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
        changingTo: this.changing.get(engine.view.id)?.to,
      })),
      readDemand: demand.read,
      restDemand: demand.rest,
      peakRuns: demand.peakRuns,
      peakRunTokens: demand.peakRunTokens,
      sinceToPrefillMs: now - this.lastChange.prefill,
      sinceToDecodeMs: now - this.lastChange.decode,
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
    this.changing.delete(id);
    scheduler.close(id, 0);
    this.refusedUntil = now() + REFUSED_PAUSE_MS;
  }

  private async send(
    replica: Replica,
    stage: Stage,
    fence: number,
  ): Promise<OrderOutcome> {
    const { form, self, service, authority, replicas, now } = this.options;
    const asked = await this.call(
      replica,
      form.reportCall(replica),
      "question",
    );
    if (asked.kind !== "accepted") return { ...asked, kind: "refused" };
    const report = form.readReport(asked.why);
    if (report.isBusy) return { kind: "refused", why: "it is busy" };
    if (isOtherLife(replica, report)) {
      replicas.deny(replica.id, now());
      return { kind: "refused", why: "it has started again" };
    }
    const { orders } = report;
    const order = form.stageOrder(replica, stage, self, fence, orders);
    if (!authority.isFresh(service) || authority.epoch(service) !== fence) {
      return { kind: "refused", why: "the lease is not fresh" };
    }
    return this.call(replica, order, "work");
  }

  /** `why` is the answer's text where it was accepted. */
  private async call(
    replica: Replica,
    call: ReplicaCall,
    purpose: SendPurpose,
  ): Promise<OrderOutcome> {
    const cancellation = new BoundedCancellation(undefined, ORDER_MS);
    const request = { ...call, purpose, cancellation };
    const sent = await this.options.client.send(replica, request);
    if (sent.kind === "failed") {
      const kind = sent.verdict === "not-run" ? "refused" : "unknown";
      return { kind, why: sent.why };
    }
    const status = sent.res.statusCode ?? 0;
    const whole = await readWholeBody(sent, MAX_ANSWER_BYTES);
    cancellation.dispose();
    const text = whole.kind === "whole" ? whole.body.toString("utf8") : "";
    const isGood = status >= 200 && status < 300;
    if (isGood) return { kind: "accepted", why: text };
    return { kind: "refused", why: `status ${status} ${text}`.trim() };
  }
}
