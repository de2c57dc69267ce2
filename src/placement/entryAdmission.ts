/**
 * Decides at an entry whether a request of one service asks the lease holder,
 * is refused at once, or is placed locally. Pure.
 */
import { refuse } from "../scheduling/index.js";
import type {
  FlowKey,
  FlowRefusals,
  FlowShare,
  PlacementAnswer,
  PlacementRequest,
  Refusal,
} from "../scheduling/index.js";
import type { Rng } from "../shared/rng.js";
import { AdmissionBudget } from "./admissionBudget.js";
import { HolderLateness } from "./holderLateness.js";
import { RefusalCache } from "./refusalCache.js";
import { SHARES_INTERVAL_MS } from "./sharePublisher.js";

/**
 * Requests that an entry asks at a time while the holder is late. They show
 * when it answers in time again; more would make it later still.
 */
const MAX_ASKS_TO_LATE_HOLDER = 4;

/** `local`: the request is placed locally, without asking. */
export type AdmissionDecision = { kind: "ask" } | { kind: "local" } | Refusal;

const ASK: AdmissionDecision = { kind: "ask" };

const flowOf = ({ route, workspace, priority }: PlacementRequest): FlowKey => ({
  route,
  workspace,
  priority,
});

export class EntryAdmission {
  private readonly budget: AdmissionBudget;
  private readonly refusals = new RefusalCache();
  private readonly lateness = new HolderLateness();
  /** When the shares were last taken from this process's own scheduler, ms. */
  private refreshedAt = -Infinity;

  constructor(rng: Rng) {
    this.budget = new AdmissionBudget(rng);
  }

  /** `unanswered`: requests that the holder has neither answered nor queued. */
  decide(
    request: PlacementRequest,
    unanswered: number,
    now: number,
  ): AdmissionDecision {
    // A request that has already been at an engine is still placed.
    if (request.avoid.length > 0) return ASK;
    const { budget, lateness } = this;
    const flow = flowOf(request);
    if (!budget.mayAsk(flow, request.isReturn, now))
      return refuse(request, "over-share");
    // The last refusal of a route says nothing about its other workspaces.
    if (budget.isInForce(now) && !lateness.isLate) return ASK;
    const mayAskLate = unanswered < MAX_ASKS_TO_LATE_HOLDER;
    const isHeldBack = lateness.isLate && !mayAskLate;
    const refusal = isHeldBack ? this.refuseLimited(request, now) : undefined;
    if (refusal !== undefined) return refusal;
    const recent = this.refusals.recentRefusal(request.route, unanswered, now);
    if (recent !== undefined) return recent;
    return isHeldBack ? { kind: "local" } : ASK;
  }

  /**
   * Refuses a first attempt whose ask was not answered in time if shares limit
   * its flow; undefined if it is placed locally. Engines are contended then:
   * entries whose link delays all answers would take engine time by estimate
   * from entries that could still answer in time.
   */
  refuseUnanswered(
    request: PlacementRequest,
    now: number,
  ): Refusal | undefined {
    if (request.isReturn || request.avoid.length > 0) return undefined;
    return this.refuseLimited(request, now);
  }

  private refuseLimited(
    request: PlacementRequest,
    now: number,
  ): Refusal | undefined {
    const flow = flowOf(request);
    if (!this.budget.isLimited(flow, now)) return undefined;
    this.budget.countRefused(flow);
    return refuse(request, "over-share");
  }

  /** An ask was answered or queued in time, or not. */
  recordAnswerTime(isInTime: boolean, now: number): void {
    if (isInTime) this.lateness.recordInTime();
    else this.lateness.recordLate(now);
  }

  /** The entry connects to another holder. */
  onNewHolder(): void {
    this.lateness.reset();
  }

  /** Records an answer of the holder. */
  recordAnswer(route: string, answer: PlacementAnswer, now: number): void {
    this.refusals.record(route, answer, now);
  }

  /**
   * Takes the shares from this process's own scheduler while it is the holder.
   */
  refreshShares(shares: () => readonly FlowShare[], now: number): void {
    if (now - this.refreshedAt < SHARES_INTERVAL_MS) return;
    this.refreshedAt = now;
    this.applyShares(shares(), now);
  }

  applyShares(shares: readonly FlowShare[], now: number): void {
    this.budget.update(shares, now);
  }

  /** The requests refused by their share since the last call. */
  takeRefused(): FlowRefusals[] {
    return this.budget.takeRefused();
  }
}
