/**
 * Where a model request is read and run, and whether it is served at all.
 * Pure: asks and events with a clock in, answers out. One scheduler serves
 * all entries of a service while it can be reached; each entry has one of
 * its own for the time when it can't.
 */
import { NO_LIMITS } from "../rateLimits/index.js";
import type { EnginePermits } from "../rateLimits/index.js";
import { FadingSum } from "../shared/fadingSum.js";
import { RunningMean } from "../shared/runningMean.js";
import { EnginePool } from "./enginePool.js";
import type { EngineState } from "./engineState.js";
import { permitIntervalMs, effectivePrefillEngines } from "./permitCapacity.js";
import { PlacedRequests } from "./placedRequests.js";
import { keyedPart, PromptCacheLookup } from "./promptCache.js";
import { planDecodePrefill, planPrefill } from "./prefillPlanner.js";
import type { PrefillPlan } from "./prefillPlanner.js";
import { PrefillTimeModel, prefillWorkOf } from "./prefillTimeModel.js";
import { refuse } from "./refusals.js";
import { chooseRunner, hasCapacity, isAdmissible } from "./runPlanner.js";
import type { PlannedRun } from "./runPlanner.js";
import { NO_DEMAND } from "./demandTotals.js";
import type { DemandTotals } from "./demandTotals.js";
import { SizeFairness } from "./sizeFairness.js";
import { TokenTimeModel } from "./tokenTimeModel.js";
import { STAGES } from "./types.js";
import type {
  EngineView,
  Grant,
  HeldPart,
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
  Queued,
  RefusalCause,
} from "./types.js";
import { WaitQueue } from "./waitQueue.js";
import type { PrefillLoad, QueuedRequest } from "./waitQueue.js";

/**
 * Time of the hops between the end of a read and the caller, ms. Prompts that
 * the runner reads in less are not worth the hops to another engine.
 */
const HOP_MS = 16;
const MEAN_PREFILL_GAIN = 0.02;
/**
 * Part of the objective in which an answer is planned: those that begin last
 * would else miss it by the error of the estimate.
 */
const OBJECTIVE_SHARE = 0.85;
/** One token of output counts as this many of the prompt in a size. */
const OUTPUT_WEIGHT = 10;
/**
 * An engine gets a prompt when it will have read the rest by then, ms: four
 * times the hops, which is as far as news of it and the answer to them may
 * lag. More would fix the order, and the engine, too early; with less it
 * stands idle.
 */
const MAX_DISPATCH_BACKLOG_MS = 4 * HOP_MS;
/** Requests that are looked at for engines that come free. */
const MAX_DISPATCH_CANDIDATES = 16;
/** Time constant of the rate of urgent reading, ms. */
const RATE_TIME_CONSTANT_MS = 1000;

/** The late answer to a request that was queued. */
export interface QueuedAnswer {
  id: string;
  answer: PlacementAnswer;
}

/** What there is to choose from for one request. */
interface Candidates {
  request: PlacementRequest;
  cache: PromptCacheLookup;
  open: readonly EngineState[];
  now: number;
}

/** Reading that is meant for engines and not given to them yet, ms. */
type ReservedPrefill = Map<EngineState, number>;

const sizeOf = (request: PlacementRequest): number =>
  request.promptTokens + OUTPUT_WEIGHT * request.outputTokens;

/** The request as it stands after its wait. */
const withWaitDeducted = (
  { request, queuedAt: arrivedAt }: QueuedRequest,
  now: number,
): PlacementRequest => ({
  ...request,
  objectiveLeftMs: request.objectiveLeftMs - (now - arrivedAt),
  deadlineLeftMs: request.deadlineLeftMs - (now - arrivedAt),
});

/** Whether none of these reads, or none makes tokens. */
const isMissingStage = (open: readonly EngineState[]): boolean =>
  new Set(open.map((item) => item.view.stage)).size < STAGES.length;

export class EngineScheduler {
  readonly fairness = new SizeFairness();
  private readonly placed = new PlacedRequests((request) =>
    this.fairness.revertServed(request.route, sizeOf(request)),
  );
  private readonly queue = new WaitQueue();
  /** Mean time to read the prompts that were asked for, ms. */
  private readonly meanPrefillMs = new RunningMean(MEAN_PREFILL_GAIN);
  /** Urgent reading that was given out, ms. */
  private readonly onTimePrefillMs = new FadingSum(RATE_TIME_CONSTANT_MS);
  readonly demandTotals: DemandTotals = { ...NO_DEMAND };
  readonly prefillModel = new PrefillTimeModel();
  private readonly engines: EnginePool;

  /** `share`: how many schedulers place on these engines without talking. */
  constructor(
    private schedulerCount: () => number,
    private readonly permits: EnginePermits = NO_LIMITS,
  ) {
    this.engines = new EnginePool(
      this.prefillModel,
      new TokenTimeModel(),
      permits,
    );
  }

  /** The engines that may get work; others keep what they run. */
  setEngines(views: readonly EngineView[]): void {
    this.engines.set(views);
  }

  engineStates(): EngineState[] {
    return this.engines.all();
  }

  /** Closes an engine, which changes its stage, until an instant. */
  suspendEngine(id: string, until: number): void {
    this.engines.suspend(id, until);
  }

  /** How many requests wait for an engine. */
  get queueLength(): number {
    return this.queue.size;
  }

  place(request: PlacementRequest, now: number): PlacementAnswer | Queued {
    this.prefillModel.estimateFromObjective(
      request.objectiveLeftMs,
      request.promptTokens,
    );
    const answer = this.admit(request, now);
    if (request.avoid.length === 0) {
      const isServed = answer.kind !== "refused";
      this.fairness.count(request.route, sizeOf(request), isServed);
    }
    return answer;
  }

  /** Answers of requests that waited, as far as there are any now. */
  answerQueued(now: number): QueuedAnswer[] {
    if (this.queue.size === 0) return [];
    const answers: QueuedAnswer[] = this.queue
      .removeExpired(now)
      .map(({ request }) => {
        this.fairness.revertServed(request.route, sizeOf(request));
        return { id: request.id, answer: refuse(request, "too-late") };
      });
    if (!this.hasIdlePrefillEngine(now)) return answers;
    const reserved: ReservedPrefill = new Map();
    for (const item of this.queue.peek(MAX_DISPATCH_CANDIDATES)) {
      const choice = this.candidatesFor(withWaitDeducted(item, now), now);
      const { request, cache, open } = choice;
      const plan = planPrefill(request, cache, open, now, reserved);
      const answer = this.tryGrant(choice, plan);
      if (answer !== undefined) {
        this.queue.dequeue(item, now);
        const waitedMs = now - item.queuedAt;
        answers.push({ id: request.id, answer: { ...answer, waitedMs } });
      } else if (plan !== undefined) {
        const before = reserved.get(plan.engine) ?? 0;
        reserved.set(plan.engine, before + plan.costMs);
      }
    }
    return answers;
  }

  /** Starts it, lets it wait, or refuses it. */
  private admit(
    request: PlacementRequest,
    now: number,
  ): PlacementAnswer | Queued {
    const choice = this.candidatesFor(request, now);
    const { cache, open } = choice;
    const plan = planPrefill(request, cache, open, now);
    const costMs = plan?.costMs ?? 0;
    if (!request.isReturn) this.addDemand(request, costMs, now);
    if (costMs > 0) this.meanPrefillMs.add(costMs);
    // Retries, callers that return after a refusal, and sizes that lag behind
    // their route skip this check.
    const isFirstTry = !request.isReturn && request.avoid.length === 0;
    const isBehind = this.fairness.isUnderserved(
      request.route,
      sizeOf(request),
    );
    const mayRefuse = isFirstTry && !isBehind;
    if (mayRefuse && !isAdmissible(this.plannedRun(request), open)) {
      return refuse(request, "slots");
    }
    const item = this.toQueuedRequest(request, costMs, now);
    const grant = this.queue.hasMoreUrgent(item)
      ? undefined
      : this.tryGrant(choice, plan);
    if (grant !== undefined) return grant;
    // Waiting ends no back-off: the caller hears at once when to come back.
    const fit = this.engines.eligibleFor(request, now);
    if (request.unavailable.length > 0 && isMissingStage(fit)) {
      return refuse(request, "no-engine");
    }
    const load = this.prefillLoad(request, fit, now);
    if (!this.queue.canQueue(item, load, now)) {
      const waitMs = load.capacityWaitMs * (this.queue.size + 1);
      return refuse(request, this.refusalCause(open, fit), waitMs);
    }
    this.queue.add(item, now);
    return { kind: "queued" };
  }

  private candidatesFor(request: PlacementRequest, now: number): Candidates {
    const open = this.engines.availableFor(request, now);
    return { request, open, now, cache: new PromptCacheLookup(request) };
  }

  private plannedRun(request: PlacementRequest): PlannedRun {
    return {
      request,
      schedulerCount: this.schedulerCount(),
      length: this.placed.lengthOf(request),
    };
  }

  private addDemand(
    request: PlacementRequest,
    costMs: number,
    now: number,
  ): void {
    const { demandTotals } = this;
    const runMs = this.placed.runTimes.estimateMs(request.outputTokens, now);
    demandTotals.prefillMs += costMs;
    demandTotals.runMs += runMs;
    demandTotals.runTokenMs +=
      runMs * (request.promptTokens + request.outputTokens);
  }

  private toQueuedRequest(
    request: PlacementRequest,
    costMs: number,
    now: number,
  ): QueuedRequest {
    const needMs = costMs + this.afterPrefillMs;
    const objectiveMs = request.objectiveLeftMs * OBJECTIVE_SHARE;
    const inTimeUntil = now + objectiveMs - needMs;
    const latestStartAt = now + request.deadlineLeftMs - needMs;
    // Where the large ones fall behind, they wait as the others do.
    const isBehind =
      costMs > this.meanPrefillMs.value &&
      this.fairness.isUnderserved(request.route, sizeOf(request));
    const usualMs = this.meanPrefillMs.value + this.afterPrefillMs;
    const usualUntil = now + objectiveMs - usualMs;
    return {
      request,
      costMs,
      queuedAt: now,
      onTimeUntil: isBehind ? usualUntil : inTimeUntil,
      latestStartAt,
    };
  }

  private refusalCause(
    open: readonly EngineState[],
    fit: readonly EngineState[],
  ): RefusalCause {
    const share = this.schedulerCount();
    if (isMissingStage(fit)) return "no-engine";
    if (isMissingStage(open)) return "limited";
    const runners = open.filter((item) => item.view.stage === "decode");
    const hasSlot = runners.some(
      (item) => item.runCount * share + 1 <= item.view.slots,
    );
    if (!hasSlot) return "slots";
    return "too-late";
  }

  /**
   * Its grant, if engines can begin it soon; `plan`: the best engine to read
   * it apart.
   */
  private tryGrant(
    choice: Candidates,
    plan: PrefillPlan | undefined,
  ): Grant | undefined {
    const { request, open, cache, now } = choice;
    const share = this.schedulerCount();
    const runner = chooseRunner(this.plannedRun(request), open, now);
    if (runner === undefined) return undefined;
    const restMs = runner.prefillCostMs(
      request.promptTokens,
      cache.cachedTokens(runner),
    );
    if (restMs <= HOP_MS && runner.backlogMs(now) <= MAX_DISPATCH_BACKLOG_MS) {
      this.demandTotals.decodePrefillMs += restMs;
      return this.grantWithPermits(choice, undefined, runner);
    }
    const limitMs = request.objectiveLeftMs - this.afterPrefillMs;
    if (
      plan !== undefined &&
      plan.endMs - plan.costMs <= MAX_DISPATCH_BACKLOG_MS
    ) {
      if (plan.endMs <= limitMs) this.onTimePrefillMs.add(plan.costMs, now);
      return this.grantWithPermits(choice, plan, runner);
    }
    const withCapacity = open.filter((other) =>
      hasCapacity(request, other, share),
    );
    const own = planDecodePrefill(
      request,
      cache,
      withCapacity,
      open,
      limitMs,
      now,
    );
    return own && this.grantWithPermits(choice, own, own.engine);
  }

  /** Grants it, and uses a permit of each engine that gets a request. */
  private grantWithPermits(
    choice: Candidates,
    plan: PrefillPlan | undefined,
    runner: EngineState,
  ): Grant {
    const engines = new Set([plan?.engine ?? runner, runner]);
    for (const { view } of engines) this.permits.acquire(view.id, choice.now);
    return this.recordGrant(choice, plan, runner);
  }

  private hasIdlePrefillEngine(now: number): boolean {
    return this.engines
      .prefillEngines(now)
      .some((engine) => engine.backlogMs(now) <= MAX_DISPATCH_BACKLOG_MS);
  }

  /**
   * Of the engines that may read it: what the others do shortens no wait.
   * `fit`: those that may get it, also where they take no more for a moment.
   */
  private prefillLoad(
    request: PlacementRequest,
    fit: readonly EngineState[],
    now: number,
  ): PrefillLoad {
    const { permits } = this;
    const readers = this.engines
      .prefillEngines(now)
      .filter(({ view }) => !request.unavailable.includes(view.id));
    const meanPrefillMs = this.meanPrefillMs.value;
    const engines = effectivePrefillEngines(
      readers,
      permits,
      meanPrefillMs,
      now,
    );
    const backlog = readers.reduce((sum, item) => sum + item.backlogMs(now), 0);
    const roomy = fit.filter((item) =>
      hasCapacity(request, item, this.schedulerCount()),
    );
    const fullMs = roomy.length > 0 ? 0 : 1 / this.placed.endRate(now);
    const permitMs = Math.max(
      permitIntervalMs(readers, permits, now),
      permitIntervalMs(roomy, permits, now),
    );
    return {
      engines,
      backlogMs: backlog / Math.max(1, readers.length),
      onTimeShare: this.onTimePrefillMs.rate(now) / Math.max(1, engines),
      capacityWaitMs: Math.max(fullMs, permitMs),
    };
  }

  /** From the end of a read to the first event at the caller, ms. */
  private get afterPrefillMs(): number {
    return this.placed.firstEventMs + HOP_MS;
  }

  /**
   * Takes over a grant that another scheduler has given; `isRead`: an engine
   * has read its prompt, which nobody will report any more. Counted as under
   * way, such reads would keep the engines of a new holder from work for
   * seconds.
   */
  adoptGrant(
    request: PlacementRequest,
    grant: Grant,
    isRead: boolean,
    now: number,
  ): void {
    const runner = this.engines.get(grant.runner);
    if (runner === undefined || this.placed.has(request.id)) return;
    const engine = grant.reader ? this.engines.get(grant.reader) : undefined;
    const cache = new PromptCacheLookup(request);
    if (isRead) {
      const { parts } = cache;
      engine?.markCached(parts);
      return this.placed.add(
        request,
        { reader: undefined, runner, parts },
        now,
      );
    }
    const choice = { request, cache, open: [], now };
    if (engine === undefined)
      return void this.recordGrant(choice, undefined, runner);
    const cached = cache.cachedTokens(engine);
    const costMs = engine.prefillCostMs(request.promptTokens, cached);
    const endMs = engine.backlogMs(now) + costMs;
    const plan = { engine, cached, costMs, endMs, donor: undefined };
    this.recordGrant(choice, plan, runner);
  }

  /** An engine says that it holds these parts. */
  recordCachedParts(engine: string, held: readonly HeldPart[]): void {
    const parts = held.map(({ model, ...part }) => keyedPart(model, part));
    this.engines.get(engine)?.markCached(parts);
  }

  onEvent(event: PlacementEvent, now: number): void {
    // The list of engines lacks it from now on.
    if (event.kind === "leaving") return;
    if (event.kind === "wrong-stage") {
      return this.engines.suspendForStageMismatch(event.engine, now);
    }
    if (event.kind === "silent") {
      return this.engines.get(event.engine)?.recordUnresponsive(now);
    }
    if (this.placed.has(event.id)) {
      return this.placed.onEvent(event, this.schedulerCount() === 1, now);
    }
    if (event.kind === "ended") this.queue.remove(event.id);
  }

  /** Drops what was never reported on; returns the number of runs dropped. */
  expire(now: number): number {
    this.placed.expire(now);
    return this.engines.expire(now);
  }

  /** `plan`: absent where the runner reads a short rest by the way. */
  private recordGrant(
    { request, cache, now }: Candidates,
    plan: PrefillPlan | undefined,
    runner: EngineState,
  ): Grant {
    const reader = plan?.engine ?? runner;
    const { parts } = cache;
    const cached = plan?.cached ?? cache.cachedTokens(reader);
    const costMs =
      plan?.costMs ?? reader.prefillCostMs(request.promptTokens, cached);
    const work = prefillWorkOf(request.promptTokens, cached);
    reader.addPrefill(request.id, work, costMs * this.schedulerCount(), now);
    reader.markPending(parts);
    const apart = reader === runner ? undefined : reader;
    this.placed.add(request, { reader: apart, runner, parts }, now);
    return {
      kind: "granted",
      reader: apart?.view.id,
      runner: runner.view.id,
      donor: plan?.donor?.view.id,
      readMs: plan?.endMs ?? 0,
      waitedMs: 0,
      ageMs: 0,
    };
  }
}
