/**
 * The link of this entry: applies the budget to requests and to what is sent,
 * and counts and logs what it decides.
 */
import type { Grant, Refusal } from "../scheduling/index.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Rng } from "../shared/rng.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { HEAD_BYTES, LinkBudget } from "./linkBudget.js";
import { LinkRetry } from "./linkRetry.js";
import type { SendObserver } from "./upstreamClient.js";
import { failureOf } from "./verdicts.js";

/** Minimum time between two log lines about a full link, ms. */
const LOG_INTERVAL_MS = 1000;
const LINK_FULL = "entry link is full";

export interface EntryLinkOptions {
  /** Undefined if the link has no bound. */
  bytesPerMs: number | undefined;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
}

/** The bytes planned for a request that was taken. */
export interface LinkPlan {
  kind: "taken";
  /** The bytes are sent now, or never. Only the first call has an effect. */
  end(): void;
}

type Admission = LinkPlan | { kind: "refused"; failure: RequestFailure };

/** What the decisions need to know of a request. */
export type LinkCaller = Pick<
  CallerRequest,
  "body" | "route" | "isReturn" | "isResponseStarted" | "leftMs" | "elapsedMs"
>;

export class EntryLink implements SendObserver {
  private readonly budget: LinkBudget;
  private readonly retry = new LinkRetry();
  private refusals = 0;
  private loggedAt = -Infinity;

  constructor(private readonly options: EntryLinkOptions) {
    this.budget = new LinkBudget(options.bytesPerMs ?? Infinity);
  }

  /** Takes a request, or refuses it since the link has no room for it. */
  admit(caller: LinkCaller): Admission {
    const { now } = this.options;
    const { isReturn, body } = caller;
    const request = {
      bodyBytes: body.length,
      objectiveLeftMs: objectiveLeftMs(caller),
      deadlineLeftMs: caller.leftMs(),
      isReturn,
    };
    if (!this.budget.canTake(request, now()))
      return { kind: "refused", failure: this.refuse(caller) };
    const plannedMs = this.budget.plan(body.length + HEAD_BYTES, now());
    let isEnded = false;
    const end = (): void => {
      if (!isEnded) this.budget.cancelPlan(plannedMs, now());
      isEnded = true;
    };
    return { kind: "taken", end };
  }

  /** Whether the scheduler is asked for one engine that prefills and runs. */
  mustSendOnce(caller: LinkCaller): boolean {
    const { metrics, now } = this.options;
    const leftMs = objectiveLeftMs(caller);
    const isWhole = this.budget.mustSendOnce(caller.body.length, leftMs, now());
    if (isWhole) metrics.count("whole_asked", {});
    return isWhole;
  }

  /** Whether the link has room for a second send of a request's body. */
  mayRepeat(caller: LinkCaller): boolean {
    const leftMs = objectiveLeftMs(caller);
    const { now } = this.options;
    return !this.budget.mustSendOnce(caller.body.length, leftMs, now());
  }

  /** A request for which one engine was asked got this grant. */
  onWholeGranted({ reader }: Grant): void {
    if (reader === undefined) this.options.metrics.count("whole_granted", {});
  }

  /** The scheduler refused a request of this entry. */
  onRefused({ why }: Refusal): void {
    this.retry.recordRefusal(why, this.options.now());
  }

  onSent(bodyBytes: number): void {
    this.budget.record(bodyBytes + HEAD_BYTES, this.options.now());
  }

  onConnect(address: string, isInTime: boolean): void {
    if (isInTime) this.budget.recordConnected();
    else this.budget.recordTimeout(address, this.options.now());
  }

  /** Bytes of a response are written to a caller. */
  onAnswered(bytes: number): void {
    this.budget.record(bytes, this.options.now());
  }

  private refuse(caller: LinkCaller): RequestFailure {
    const { metrics, rng, now } = this.options;
    const { isReturn } = caller;
    metrics.count("link_refused", { attempt: isReturn ? "return" : "first" });
    this.refusals += 1;
    this.logRefusals();
    if (isReturn) return failureOf("not-run", LINK_FULL);
    const delayMs = this.retry.delayMs(caller.leftMs(), rng(), now());
    return failureOf("not-run", LINK_FULL, delayMs);
  }

  private logRefusals(): void {
    const { log, now } = this.options;
    if (now() - this.loggedAt < LOG_INTERVAL_MS) return;
    const queueMs = Math.round(this.budget.queueMs(now()));
    log.info(LINK_FULL, { queueMs, refusals: this.refusals });
    this.loggedAt = now();
    this.refusals = 0;
  }
}

const objectiveLeftMs = (caller: LinkCaller): number =>
  caller.isResponseStarted
    ? caller.leftMs()
    : Math.min(caller.leftMs(), caller.route.objectiveMs - caller.elapsedMs());
