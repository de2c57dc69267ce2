/**
 * Admits model requests and chooses the engines that prefill and decode them.
 * Pure: takes requests, events and the current time, and returns answers. One
 * scheduler serves all entries of a service while it is reachable; each entry
 * falls back to its own scheduler when it is not.
 */
import { NO_LIMITS } from "../rateLimits/index.js";
import type { EnginePermits } from "../rateLimits/index.js";
import { DecayingSum } from "../shared/decayingSum.js";
import { RunningMean } from "../shared/runningMean.js";
import { EnginePool } from "./enginePool.js";
import type { EngineState } from "./engineState.js";
import { permitIntervalMs, effectivePrefillEngines } from "./permitCapacity.js";
import { PlacedRequests } from "./placedRequests.js";
import { PriorityMap } from "./priorityMap.js";
import { keyedPart, PromptCacheLookup } from "./promptCache.js";
import { planDecodePrefill, planPrefill } from "./prefillPlanner.js";
import type { PrefillPlan } from "./prefillPlanner.js";
import { PrefillTimeModel, prefillWorkOf } from "./prefillTimeModel.js";
import type { FlowRefusals, FlowShare } from "./fairShares.js";
import { FlowAdmission } from "./flowAdmission.js";
import { refuse } from "./refusals.js";
import {
  chooseRunner,
  hasCapacity,
  hasSlot,
  isAdmissible,
} from "./runPlanner.js";
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
  Refusal,
  RefusalCause,
} from "./types.js";
import { WaitQueue } from "./waitQueue.js";
import type { PrefillLoad, QueuedRequest } from "./waitQueue.js";
import { chooseWhole, wholePrefillMs } from "./wholePlacement.js";
import type { WholeChoice } from "./wholePlacement.js";

/**
 * Time of the network hops between the end of a prefill and the caller, ms.
 * Prompts that the runner can prefill in less time are not worth the hops to
 * another engine.
 */
const NETWORK_HOPS_MS = 16;
/** Weight of a new value in the running mean of prefill times. */
const MEAN_PREFILL_GAIN = 0.02;
/**
 * Share of the latency objective used for planning. The margin covers
 * estimation errors, by which the last answers to start would otherwise miss
 * the objective.
 */
const OBJECTIVE_SHARE = 0.85;
/** Weight of an output token in the size of a request, in prompt tokens. */
const OUTPUT_WEIGHT = 10;
/**
 * Largest backlog at which an engine is given another prompt, ms. Reports from
 * the engine and the response to them may lag by up to four times the hop time.
 * A larger limit fixes the order and the engine too early; with a smaller one
 * engines stand idle.
 */
const MAX_DISPATCH_BACKLOG_MS = 4 * NETWORK_HOPS_MS;
/** Queued requests of each kind considered when engines become free. */
const MAX_DISPATCH_CANDIDATES = 16;
/**
 * Share of their time that prefill engines are expected to work in a burst in
 * any case; hops and uneven queues take the rest.
 */
const CERTAIN_USAGE = 0.6;
/** Time constant of the rate of on-time prefill work, ms. */
const RATE_TIME_CONSTANT_MS = 1000;

/** The final answer to a request that was queued. */
export interface QueuedAnswer {
  id: string;
  answer: PlacementAnswer;
}

/** The engines available for one request. */
interface Candidates {
  request: PlacementRequest;
  cache: PromptCacheLookup;
  available: readonly EngineState[];
  now: number;
}

/** Prefill time planned on engines for requests that stay queued, ms. */
type ReservedPrefill = Map<EngineState, number>;

const sizeOf = (request: PlacementRequest): number =>
  request.promptTokens + OUTPUT_WEIGHT * request.outputTokens;

/** The request with its time in the queue deducted from the time left. */
const withWaitDeducted = (
  { request, queuedAt }: QueuedRequest,
  now: number,
): PlacementRequest => ({
  ...request,
  objectiveLeftMs: request.objectiveLeftMs - (now - queuedAt),
  deadlineLeftMs: request.deadlineLeftMs - (now - queuedAt),
});

/** Whether a refusal shows that engine time or slots are short. */
const isContentionCause = (cause: RefusalCause): boolean =>
  cause === "too-late" || cause === "slots";

/** Whether a request is neither a retry nor another round of one. */
const isFirstAttempt = ({ isReturn, avoid }: PlacementRequest): boolean =>
  !isReturn && avoid.length === 0;

/** Whether there is no prefill engine or no decode engine among these. */
const isMissingStage = (engines: readonly EngineState[]): boolean =>
  new Set(engines.map((item) => item.view.stage)).size < STAGES.length;

/** Whether no engine may go on with the stream that the request continues. */
const isMissingVersion = (
  { runnerVersion }: PlacementRequest,
  engines: readonly EngineState[],
): boolean =>
  runnerVersion !== undefined &&
  !engines.some((item) => item.view.stage === "decode");

export class EngineScheduler {
  readonly fairness = new SizeFairness();
  private readonly placed = new PlacedRequests((request) =>
    this.fairness.revertServed(request.route, sizeOf(request)),
  );
  private readonly queue = new WaitQueue();
  /** Mean expected prefill time of requested prompts, ms. */
  private readonly meanPrefillMs = new RunningMean(MEAN_PREFILL_GAIN);
  /**
   * Prefill work assigned to engines for answers that can be on time, ms, by
   * priority.
   */
  private readonly onTimePrefillMs = new PriorityMap(
    () => new DecayingSum(RATE_TIME_CONSTANT_MS),
  );
  private readonly admission = new FlowAdmission((now) =>
    this.prefillCapacity(now),
  );
  /** Answers to requests that were removed from the queue for others. */
  private displaced: QueuedAnswer[] = [];
  readonly demandTotals: DemandTotals = { ...NO_DEMAND };
  readonly prefillModel = new PrefillTimeModel();
  private readonly engines: EnginePool;

  /**
   * `schedulerCount`: how many schedulers place on these engines without
   * coordination.
   */
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

  /** Sets the engines that may be assigned work; others keep their runs. */
  setEngines(views: readonly EngineView[]): void {
    this.engines.set(views);
  }

  engineStates(): EngineState[] {
    return this.engines.all();
  }

  /**
   * Assigns no work to an engine until the given time, e.g. during a stage
   * change.
   */
  suspendEngine(id: string, until: number): void {
    this.engines.suspend(id, until);
  }

  /** Shares of the flows under contention; empty without contention. */
  shares(now: number): FlowShare[] {
    return this.admission.shares.shares(now);
  }

  /** Counts requests that an entry refused by its shares as demand. */
  recordRefusedElsewhere({ flow, requests }: FlowRefusals, now: number): void {
    const { shares } = this.admission;
    const workMs = shares.meanWorkMs(flow);
    shares.recordRefusedElsewhere(flow, requests, workMs, now);
  }

  /**
   * Engine time that a request is expected to need: its prefill, and its run's
   * share of an engine with all slots in use, ms.
   */
  workOf(request: PlacementRequest, now: number): number {
    const { available, cache } = this.candidatesFor(request, now);
    const plan = planPrefill(request, cache, available, now);
    return this.workWith(request, plan, now);
  }

  private workWith(
    { promptTokens, outputTokens }: PlacementRequest,
    plan: PrefillPlan | undefined,
    now: number,
  ): number {
    const work = prefillWorkOf(promptTokens, plan?.cached ?? 0);
    const runMs = this.placed.runTimes.estimateMs(outputTokens, now);
    return this.prefillModel.estimateMs(work) + runMs / this.engines.slots;
  }

  /** Number of requests waiting for an engine. */
  get queueLength(): number {
    return this.queue.size;
  }

  /** Places, queues or refuses a request. */
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

  /** Returns the answers to queued requests that can start or have expired. */
  answerQueued(now: number): QueuedAnswer[] {
    const { displaced } = this;
    this.displaced = [];
    if (this.queue.size === 0) return displaced;
    const { shares } = this.admission;
    const overdue = this.queue.moveOverdue(now);
    if (overdue.some(({ request }) => isFirstAttempt(request))) {
      shares.recordContention(now);
    }
    const expired = this.queue
      .removeExpired(now)
      .map((item) => this.refuseQueued(item, "too-late", now));
    const stranded = this.refuseStranded(now);
    const answers = [...displaced, ...expired, ...stranded];
    const reserved: ReservedPrefill = new Map();
    for (const item of this.dispatchCandidates(now)) {
      const candidates = this.candidatesFor(withWaitDeducted(item, now), now);
      const { request, cache, available } = candidates;
      const plan = planPrefill(request, cache, available, now, reserved);
      const answer = this.tryGrant(candidates, plan);
      if (answer !== undefined) {
        this.queue.dequeue(item, now);
        shares.recordGranted(request, item.workMs, now);
        const waitedMs = now - item.queuedAt;
        answers.push({ id: request.id, answer: { ...answer, waitedMs } });
      } else if (plan !== undefined && !request.isWhole) {
        const before = reserved.get(plan.engine) ?? 0;
        reserved.set(plan.engine, before + plan.costMs);
      }
    }
    return answers;
  }

  /** Refuses queued requests whose software version has no engine left. */
  private refuseStranded(now: number): QueuedAnswer[] {
    if (this.queue.awaitedVersions.size === 0) return [];
    const stranded = this.queue
      .items()
      .filter(({ request }) => request.runnerVersion !== undefined)
      .filter(({ request }) =>
        isMissingVersion(request, this.engines.eligibleFor(request, now)),
      );
    return stranded.map((item) => {
      this.queue.remove(item.request.id);
      const { id } = this.refuseQueued(item, "no-version", now);
      return { id, answer: this.refuseVersion(item.request) };
    });
  }

  private refuseQueued(
    { request, workMs }: QueuedRequest,
    why: RefusalCause,
    now: number,
  ): QueuedAnswer {
    this.fairness.revertServed(request.route, sizeOf(request));
    this.admission.shares.revertAdmitted(request, workMs, now);
    return { id: request.id, answer: refuse(request, why) };
  }

  /**
   * Counts whole requests apart: they wait for decode engines, and would keep
   * the split ones behind them from idle prefill engines.
   */
  private dispatchCandidates(now: number): QueuedRequest[] {
    const hasIdle = this.hasIdlePrefillEngine(now);
    const split = hasIdle ? MAX_DISPATCH_CANDIDATES : 0;
    return this.queue.peek({ split, whole: MAX_DISPATCH_CANDIDATES });
  }

  private admit(
    request: PlacementRequest,
    now: number,
  ): PlacementAnswer | Queued {
    const candidates = this.candidatesFor(request, now);
    const { cache, available } = candidates;
    const plan = planPrefill(request, cache, available, now);
    const costMs = plan?.costMs ?? 0;
    if (!request.isReturn) this.addDemand(candidates, costMs);
    const { shares } = this.admission;
    // Work is counted once, not again for each engine that rejected it.
    const isNew = request.avoid.length === 0;
    const workMs = isNew ? this.workWith(request, plan, now) : 0;
    if (isNew) shares.recordDemand(request, workMs, now);
    if (costMs > 0) this.meanPrefillMs.add(costMs);
    // Retries, callers that return after a refusal, and request sizes that are
    // underserved on their route skip this check.
    const isFirstTry = isFirstAttempt(request);
    const isUnderserved = this.fairness.isUnderserved(
      request.route,
      sizeOf(request),
    );
    const mayRefuse = isFirstTry && !isUnderserved;
    const run = this.plannedRun(request, plan?.endMs ?? 0, now);
    if (mayRefuse && !isAdmissible(run, available, now)) {
      shares.recordContention(now);
      return refuse(request, "slots");
    }
    const item = this.toQueuedRequest(request, costMs, workMs, now);
    const isOver = isNew && this.admission.isOverShare(request, now);
    const mustWait =
      this.queue.hasMoreUrgent(item) || (isOver && this.queue.size > 0);
    const grant = mustWait ? undefined : this.tryGrant(candidates, plan);
    if (grant !== undefined) {
      this.queue.recordStart(item, now);
      shares.recordGranted(request, workMs, now);
      shares.recordAdmitted(request, workMs, now);
      return grant;
    }
    // Waiting does not end a back-off, so the request is refused at once with a
    // retry delay.
    const eligible = this.engines.eligibleFor(request, now);
    if (isMissingVersion(request, eligible)) return this.refuseVersion(request);
    if (request.unavailable.length > 0 && isMissingStage(eligible)) {
      return refuse(request, "no-engine");
    }
    if (isOver) {
      return refuse(request, "over-share");
    }
    const load = this.prefillLoad(run, eligible, now);
    if (
      !this.queue.canQueue(item, load, now) &&
      !this.makeRoom(item, load, now)
    ) {
      const waitMs = load.capacityWaitMs * (this.queue.size + 1);
      const cause = this.refusalCause(run, available, eligible, now);
      if (isFirstTry && isContentionCause(cause)) shares.recordContention(now);
      return refuse(request, cause, waitMs);
    }
    this.queue.add(item, now);
    shares.recordAdmitted(request, workMs, now);
    return { kind: "queued" };
  }

  /** Coming back is in vain once no engine of the version is listed. */
  private refuseVersion(request: PlacementRequest): Refusal {
    const refusal = refuse(request, "no-version");
    const isListed = this.engines.hasVersion(request.runnerVersion);
    return isListed ? refusal : { ...refusal, retryAfterMs: 0 };
  }

  /**
   * Refuses queued requests of flows over their share if the request can then
   * be queued; false if it cannot.
   */
  private makeRoom(
    item: QueuedRequest,
    load: PrefillLoad,
    now: number,
  ): boolean {
    const { queue, admission } = this;
    const canQueue = () => queue.canQueue(item, load, now);
    const displaced = admission.makeRoom(queue, item.request, canQueue, now);
    for (const other of displaced) {
      this.displaced.push(this.refuseQueued(other, "over-share", now));
    }
    return displaced.length > 0;
  }

  private candidatesFor(request: PlacementRequest, now: number): Candidates {
    const available = this.withoutAwaited(
      request,
      this.engines.availableFor(request, now),
    );
    return { request, available, now, cache: new PromptCacheLookup(request) };
  }

  /**
   * Leaves slots that come free to queued requests that can go on nowhere else,
   * while the others have engines of other versions.
   */
  private withoutAwaited(
    { runnerVersion }: PlacementRequest,
    available: EngineState[],
  ): EngineState[] {
    const { awaitedVersions } = this.queue;
    if (runnerVersion !== undefined || awaitedVersions.size === 0)
      return available;
    const others = available.filter(
      ({ view: { stage, softwareVersion = "" } }) =>
        stage !== "decode" || !awaitedVersions.has(softwareVersion),
    );
    return isMissingStage(others) ? available : others;
  }

  /** `startsInMs`: time until the prompt is expected to be prefilled. */
  private plannedRun(
    request: PlacementRequest,
    startsInMs: number,
    now: number,
  ): PlannedRun {
    return {
      request,
      startsInMs,
      slotMs: this.placed.runTimes.slotMs(request.outputTokens, now),
      schedulerCount: this.schedulerCount(),
      length: this.placed.lengthOf(request),
    };
  }

  private addDemand(candidates: Candidates, costMs: number): void {
    const { request, cache, available, now } = candidates;
    const { demandTotals } = this;
    const runMs = this.placed.runTimes.estimateMs(request.outputTokens, now);
    const limitMs = request.objectiveLeftMs - this.afterPrefillMs;
    const wholeMs = wholePrefillMs(request, cache, available, limitMs, now);
    demandTotals.decodePrefillMs += wholeMs ?? 0;
    if (wholeMs === undefined) demandTotals.prefillMs += costMs;
    demandTotals.runMs += runMs;
    demandTotals.runTokenMs +=
      runMs * (request.promptTokens + request.outputTokens);
  }

  private toQueuedRequest(
    request: PlacementRequest,
    costMs: number,
    workMs: number,
    now: number,
  ): QueuedRequest {
    const needMs = costMs + this.afterPrefillMs;
    const objectiveMs = request.objectiveLeftMs * OBJECTIVE_SHARE;
    const ownOnTimeUntil = now + objectiveMs - needMs;
    const latestStartAt = now + request.deadlineLeftMs - needMs;
    // Underserved large requests get the on-time limit of an average request.
    const isUnderserved =
      costMs > this.meanPrefillMs.value &&
      this.fairness.isUnderserved(request.route, sizeOf(request));
    const meanNeedMs = this.meanPrefillMs.value + this.afterPrefillMs;
    const meanOnTimeUntil = now + objectiveMs - meanNeedMs;
    return {
      request,
      costMs,
      workMs,
      queuedAt: now,
      onTimeUntil: isUnderserved ? meanOnTimeUntil : ownOnTimeUntil,
      latestStartAt,
    };
  }

  private refusalCause(
    run: PlannedRun,
    available: readonly EngineState[],
    eligible: readonly EngineState[],
    now: number,
  ): RefusalCause {
    if (isMissingStage(eligible)) return "no-engine";
    if (isMissingStage(available)) return "limited";
    const runners = available.filter((item) => item.view.stage === "decode");
    if (!runners.some((item) => hasSlot(run, item, now))) return "slots";
    return "too-late";
  }

  /**
   * Grants the request if engines can start it soon. `plan`: the best prefill
   * engine, if there is one.
   */
  private tryGrant(
    candidates: Candidates,
    plan: PrefillPlan | undefined,
  ): Grant | undefined {
    const { request, available, cache, now } = candidates;
    const whole = this.chooseWhole(candidates);
    if (whole.kind === "wait") return undefined;
    if (whole.kind === "start")
      return this.grantWithPermits(candidates, whole.plan, whole.plan.engine);
    const runNow = this.plannedRun(request, 0, now);
    const ownRunner = chooseRunner(runNow, available, now);
    if (ownRunner !== undefined) {
      const remainderMs = ownRunner.prefillCostMs(
        request.promptTokens,
        cache.cachedTokens(ownRunner),
        now,
      );
      if (
        remainderMs <= NETWORK_HOPS_MS &&
        ownRunner.backlogMs(now) <= MAX_DISPATCH_BACKLOG_MS
      ) {
        if (!request.isWhole) this.demandTotals.decodePrefillMs += remainderMs;
        return this.grantWithPermits(candidates, undefined, ownRunner);
      }
    }
    const run = this.plannedRun(request, plan?.endMs ?? 0, now);
    const runner = chooseRunner(run, available, now);
    const limitMs = request.objectiveLeftMs - this.afterPrefillMs;
    if (
      plan !== undefined &&
      runner !== undefined &&
      plan.endMs - plan.costMs <= MAX_DISPATCH_BACKLOG_MS
    ) {
      if (plan.endMs <= limitMs) {
        this.onTimePrefillMs.get(request.priority).add(plan.costMs, now);
      }
      return this.grantWithPermits(candidates, plan, runner);
    }
    const withCapacity = available.filter((other) =>
      hasCapacity(runNow, other, now),
    );
    const ownPlan = planDecodePrefill(
      request,
      cache,
      withCapacity,
      available,
      limitMs,
      now,
    );
    return (
      ownPlan && this.grantWithPermits(candidates, ownPlan, ownPlan.engine)
    );
  }

  /** The decode engine for a request that is to be sent only once. */
  private chooseWhole(candidates: Candidates): WholeChoice {
    const { request, available, cache, now } = candidates;
    if (!request.isWhole) return { kind: "none" };
    const run = this.plannedRun(request, 0, now);
    const withCapacity = available.filter((engine) =>
      hasCapacity(run, engine, now),
    );
    return chooseWhole({
      request,
      cache,
      withCapacity,
      donors: available,
      limitMs: request.objectiveLeftMs - this.afterPrefillMs,
      maxBacklogMs: MAX_DISPATCH_BACKLOG_MS,
      now,
    });
  }

  /** Grants the request and takes a permit from each engine that it uses. */
  private grantWithPermits(
    candidates: Candidates,
    plan: PrefillPlan | undefined,
    runner: EngineState,
  ): Grant {
    const engines = new Set([plan?.engine ?? runner, runner]);
    for (const { view } of engines)
      this.permits.acquire(view.id, candidates.now);
    return this.recordGrant(candidates, plan, runner);
  }

  /**
   * Prefill work that the prefill engines do in any case, ms of nominal work
   * per ms.
   */
  private prefillCapacity(now: number): number {
    return this.engines
      .prefillEngines(now)
      .reduce(
        (sum, item) => sum + CERTAIN_USAGE / item.relativePrefillTime(now),
        0,
      );
  }

  private hasIdlePrefillEngine(now: number): boolean {
    return this.engines
      .prefillEngines(now)
      .some((engine) => engine.backlogMs(now) <= MAX_DISPATCH_BACKLOG_MS);
  }

  /**
   * Load on the prefill engines that may get the request; other engines do not
   * shorten its wait. `eligible`: engines of both stages that may get it,
   * including those at their rate limit.
   */
  private prefillLoad(
    run: PlannedRun,
    eligible: readonly EngineState[],
    now: number,
  ): PrefillLoad {
    const { permits } = this;
    const readers = this.engines
      .prefillEngines(now)
      .filter(({ view }) => !run.request.unavailable.includes(view.id));
    const meanPrefillMs = this.meanPrefillMs.value;
    const engines = effectivePrefillEngines(
      readers,
      permits,
      meanPrefillMs,
      now,
    );
    const backlog = readers.reduce((sum, item) => sum + item.backlogMs(now), 0);
    const withCapacity = eligible.filter((item) => hasCapacity(run, item, now));
    const fullMs = withCapacity.length > 0 ? 0 : 1 / this.placed.endRate(now);
    const permitMs = Math.max(
      permitIntervalMs(readers, permits, now),
      permitIntervalMs(withCapacity, permits, now),
    );
    const onTimeRate = this.onTimePrefillMs
      .upTo(run.request.priority)
      .reduce((sum, work) => sum + work.rate(now), 0);
    return {
      engines,
      backlogMs: backlog / Math.max(1, readers.length),
      onTimeShare: onTimeRate / Math.max(1, engines),
      isContended: this.admission.shares.isContended(now),
      capacityWaitMs: Math.max(fullMs, permitMs),
    };
  }

  /**
   * Expected time from the end of a prefill to the first event at the caller,
   * ms.
   */
  private get afterPrefillMs(): number {
    return this.placed.firstEventMs + NETWORK_HOPS_MS;
  }

  /**
   * Takes over a grant from another scheduler. `isRead`: the prefill has ended
   * and will not be reported again. If such prefills counted as outstanding,
   * a new lease holder would assign no work to their engines for seconds.
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
        { reader: undefined, runner, parts, isAdopted: true },
        now,
      );
    }
    const candidates = { request, cache, available: [], now };
    if (engine === undefined)
      return void this.recordGrant(candidates, undefined, runner, true);
    const cached = cache.cachedTokens(engine);
    const costMs = engine.prefillCostMs(request.promptTokens, cached, now);
    const endMs = engine.backlogMs(now) + costMs;
    const plan = { engine, cached, costMs, endMs, donor: undefined };
    this.recordGrant(candidates, plan, runner, true);
  }

  /** Records the prompt parts that an engine reports as cached. */
  recordCachedParts(engine: string, held: readonly HeldPart[]): void {
    const parts = held.map(({ model, ...part }) => keyedPart(model, part));
    this.engines.get(engine)?.markCached(parts);
  }

  onEvent(event: PlacementEvent, now: number): void {
    // The engine list no longer contains it.
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
    if (event.kind !== "ended") return;
    const item = this.queue.remove(event.id);
    if (item === undefined) return;
    this.admission.shares.revertAdmitted(item.request, item.workMs, now);
  }

  /**
   * Drops work whose end was never reported; returns the number of runs
   * dropped.
   */
  expire(now: number): number {
    this.placed.expire(now);
    return this.engines.expire(now);
  }

  /**
   * `plan`: undefined if the runner prefills a short uncached remainder itself.
   */
  private recordGrant(
    { request, cache, now }: Candidates,
    plan: PrefillPlan | undefined,
    runner: EngineState,
    isAdopted = false,
  ): Grant {
    const reader = plan?.engine ?? runner;
    const { parts } = cache;
    const cached = plan?.cached ?? cache.cachedTokens(reader);
    const costMs =
      plan?.costMs ?? reader.prefillCostMs(request.promptTokens, cached, now);
    const work = prefillWorkOf(request.promptTokens, cached);
    const sharedCostMs = costMs * this.schedulerCount();
    reader.addPrefill(request.id, work, sharedCostMs, now, isAdopted);
    reader.markPending(parts);
    const separatePrefillEngine = reader === runner ? undefined : reader;
    const prefillEndsAt = separatePrefillEngine && now + (plan?.endMs ?? 0);
    this.placed.add(
      request,
      {
        reader: separatePrefillEngine,
        runner,
        parts,
        prefillEndsAt,
        isAdopted,
      },
      now,
    );
    return {
      kind: "granted",
      reader: separatePrefillEngine?.view.id,
      runner: runner.view.id,
      donor: plan?.donor?.view.id,
      readMs: plan?.endMs ?? 0,
      waitedMs: 0,
      ageMs: 0,
    };
  }
}
