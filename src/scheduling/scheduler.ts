/**
 * Where a model request is read and run, and whether it is served at all.
 * Pure: asks and events with a clock in, answers out. One scheduler serves
 * all entries of a service while it can be reached; each entry has one of
 * its own for the time when it can't.
 */
import { NO_LIMITS } from "../rateLimits/index.js";
import type { EnginePermits } from "../rateLimits/index.js";
import { DecayingSum } from "../shared/decayingSum.js";
import { RunningMean } from "../shared/runningMean.js";
import { EnginePool } from "./enginePool.js";
import type { EngineState } from "./engineState.js";
import { permitGapMs, readingEngines } from "./limitedEngines.js";
import { PlacedRequests } from "./placedRequests.js";
import { keyedPart, PromptCache } from "./promptCache.js";
import { planOwnRead, planRead } from "./readPlanner.js";
import type { ReadPlan } from "./readPlanner.js";
import { ReadPace, workOf } from "./readPace.js";
import { refuse } from "./refusals.js";
import { chooseRunner, hasRoom, isAdmissible } from "./runPlanner.js";
import type { PlannedRun } from "./runPlanner.js";
import { NO_LOAD } from "./schedulerLoad.js";
import type { SchedulerLoad } from "./schedulerLoad.js";
import { SizeFairness } from "./sizeFairness.js";
import { TokenPace } from "./tokenPace.js";
import { STAGES } from "./types.js";
import type {
  EngineView,
  Grant,
  HeldPart,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
  Queued,
  RefusalCause,
} from "./types.js";
import { WaitQueue } from "./waitQueue.js";
import type { ReadingLoad, WaitingAsk } from "./waitQueue.js";

/**
 * Time of the hops between the end of a read and the caller, ms. Prompts that
 * the runner reads in less are not worth the hops to another engine.
 */
const HOPS_MS = 16;
const MEAN_READ_GAIN = 0.02;
/**
 * Part of the objective in which an answer is planned: those that begin last
 * would else miss it by the error of the estimate.
 */
const OBJECTIVE_PART = 0.85;
/** One token of output counts as this many of the prompt in a size. */
const OUTPUT_WEIGHT = 10;
/**
 * An engine gets a prompt when it will have read the rest by then, ms: four
 * times the hops, which is as far as news of it and the answer to them may
 * lag. More would fix the order, and the engine, too early; with less it
 * stands idle.
 */
const START_AHEAD_MS = 4 * HOPS_MS;
/** Requests that are looked at for engines that come free. */
const LOOK_AHEAD = 16;
/** Time constant of the rate of urgent reading, ms. */
const RATE_MEMORY_MS = 1000;

/** The late answer to a request that was queued. */
export interface Settled {
  id: string;
  answer: PlacementAnswer;
}

/** What there is to choose from for one request. */
interface Choice {
  ask: PlacementAsk;
  cache: PromptCache;
  open: readonly EngineState[];
  now: number;
}

/** Reading that is meant for engines and not given to them yet, ms. */
type MeantReads = Map<EngineState, number>;

const sizeOf = (ask: PlacementAsk): number =>
  ask.promptTokens + OUTPUT_WEIGHT * ask.outputTokens;

/** The ask as it stands after its wait. */
const aged = ({ ask, arrivedAt }: WaitingAsk, now: number): PlacementAsk => ({
  ...ask,
  objectiveLeftMs: ask.objectiveLeftMs - (now - arrivedAt),
  deadlineLeftMs: ask.deadlineLeftMs - (now - arrivedAt),
});

/** Whether none of these reads, or none makes tokens. */
const lacksStage = (open: readonly EngineState[]): boolean =>
  new Set(open.map((item) => item.view.stage)).size < STAGES.length;

export class EngineScheduler {
  readonly fairness = new SizeFairness();
  private readonly placed = new PlacedRequests((ask) =>
    this.fairness.uncountServed(ask.route, sizeOf(ask)),
  );
  private readonly queue = new WaitQueue();
  /** Mean time to read the prompts that were asked for, ms. */
  private readonly meanReadMs = new RunningMean(MEAN_READ_GAIN);
  /** Urgent reading that was given out, ms. */
  private readonly urgentMs = new DecayingSum(RATE_MEMORY_MS);
  readonly asked: SchedulerLoad = { ...NO_LOAD };
  readonly pace = new ReadPace();
  private readonly engines: EnginePool;

  /** `share`: how many schedulers place on these engines without talking. */
  constructor(
    private share: () => number,
    private readonly permits: EnginePermits = NO_LIMITS,
  ) {
    this.engines = new EnginePool(this.pace, new TokenPace(), permits);
  }

  /** The engines that may get work; others keep what they run. */
  setEngines(views: readonly EngineView[]): void {
    this.engines.set(views);
  }

  engineStates(): EngineState[] {
    return this.engines.all();
  }

  /** Closes an engine, which changes its stage, until an instant. */
  close(id: string, until: number): void {
    this.engines.close(id, until);
  }

  /** How many requests wait for an engine. */
  get waiting(): number {
    return this.queue.size;
  }

  place(ask: PlacementAsk, now: number): PlacementAnswer | Queued {
    this.pace.guess(ask.objectiveLeftMs, ask.promptTokens);
    const answer = this.admit(ask, now);
    if (ask.avoid.length === 0) {
      const isServed = answer.kind !== "refused";
      this.fairness.count(ask.route, sizeOf(ask), isServed);
    }
    return answer;
  }

  /** Answers of requests that waited, as far as there are any now. */
  settle(now: number): Settled[] {
    if (this.queue.size === 0) return [];
    const settled: Settled[] = this.queue.takeHopeless(now).map(({ ask }) => {
      this.fairness.uncountServed(ask.route, sizeOf(ask));
      return { id: ask.id, answer: refuse(ask, "too-late") };
    });
    if (!this.hasIdleReader(now)) return settled;
    const meant: MeantReads = new Map();
    for (const item of this.queue.first(LOOK_AHEAD)) {
      const choice = this.choiceFor(aged(item, now), now);
      const { ask, cache, open } = choice;
      const plan = planRead(ask, cache, open, now, meant);
      const answer = this.start(choice, plan);
      if (answer !== undefined) {
        this.queue.begin(item, now);
        const waitedMs = now - item.arrivedAt;
        settled.push({ id: ask.id, answer: { ...answer, waitedMs } });
      } else if (plan !== undefined) {
        const before = meant.get(plan.engine) ?? 0;
        meant.set(plan.engine, before + plan.costMs);
      }
    }
    return settled;
  }

  /** Starts it, lets it wait, or refuses it. */
  private admit(ask: PlacementAsk, now: number): PlacementAnswer | Queued {
    const choice = this.choiceFor(ask, now);
    const { cache, open } = choice;
    const plan = planRead(ask, cache, open, now);
    const costMs = plan?.costMs ?? 0;
    if (!ask.isReturn) this.countAsked(ask, costMs, now);
    if (costMs > 0) this.meanReadMs.add(costMs);
    // Retries, callers that return after a refusal, and sizes that lag behind
    // their route skip this check.
    const isFirstTry = !ask.isReturn && ask.avoid.length === 0;
    const isBehind = this.fairness.lags(ask.route, sizeOf(ask));
    const mayRefuse = isFirstTry && !isBehind;
    if (mayRefuse && !isAdmissible(this.plannedRun(ask), open)) {
      return refuse(ask, "slots");
    }
    const item = this.waitingAsk(ask, costMs, now);
    const grant = this.queue.hasBefore(item)
      ? undefined
      : this.start(choice, plan);
    if (grant !== undefined) return grant;
    // Waiting ends no back-off: the caller hears at once when to come back.
    const fit = this.engines.fit(ask, now);
    if (ask.unavailable.length > 0 && lacksStage(fit)) {
      return refuse(ask, "no-engine");
    }
    const load = this.readingLoad(ask, fit, now);
    if (!this.queue.mayWait(item, load, now)) {
      const waitMs = load.roomMs * (this.queue.size + 1);
      return refuse(ask, this.whyNot(open, fit), waitMs);
    }
    this.queue.add(item, now);
    return { kind: "queued" };
  }

  private choiceFor(ask: PlacementAsk, now: number): Choice {
    const open = this.engines.open(ask, now);
    return { ask, open, now, cache: new PromptCache(ask) };
  }

  private plannedRun(ask: PlacementAsk): PlannedRun {
    return { ask, share: this.share(), length: this.placed.lengthOf(ask) };
  }

  private countAsked(ask: PlacementAsk, costMs: number, now: number): void {
    const { asked } = this;
    const runMs = this.placed.runPace.expectMs(ask.outputTokens, now);
    asked.readMs += costMs;
    asked.runMs += runMs;
    asked.runTokenMs += runMs * (ask.promptTokens + ask.outputTokens);
  }

  private waitingAsk(
    ask: PlacementAsk,
    costMs: number,
    now: number,
  ): WaitingAsk {
    const needMs = costMs + this.afterReadMs;
    const objectiveMs = ask.objectiveLeftMs * OBJECTIVE_PART;
    const inTimeUntil = now + objectiveMs - needMs;
    const latestStartAt = now + ask.deadlineLeftMs - needMs;
    // Where the large ones fall behind, they wait as the others do.
    const isBehind =
      costMs > this.meanReadMs.value &&
      this.fairness.lags(ask.route, sizeOf(ask));
    const usualMs = this.meanReadMs.value + this.afterReadMs;
    const usualUntil = now + objectiveMs - usualMs;
    return {
      ask,
      costMs,
      arrivedAt: now,
      inTimeUntil: isBehind ? usualUntil : inTimeUntil,
      latestStartAt,
    };
  }

  private whyNot(
    open: readonly EngineState[],
    fit: readonly EngineState[],
  ): RefusalCause {
    const share = this.share();
    if (lacksStage(fit)) return "no-engine";
    if (lacksStage(open)) return "limited";
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
  private start(choice: Choice, plan: ReadPlan | undefined): Grant | undefined {
    const { ask, open, cache, now } = choice;
    const share = this.share();
    const runner = chooseRunner(this.plannedRun(ask), open, now);
    if (runner === undefined) return undefined;
    const restMs = runner.readCostMs(ask.promptTokens, cache.at(runner));
    if (restMs <= HOPS_MS && runner.backlogMs(now) <= START_AHEAD_MS) {
      this.asked.restMs += restMs;
      return this.give(choice, undefined, runner);
    }
    const limitMs = ask.objectiveLeftMs - this.afterReadMs;
    if (plan !== undefined && plan.endMs - plan.costMs <= START_AHEAD_MS) {
      if (plan.endMs <= limitMs) this.urgentMs.add(plan.costMs, now);
      return this.give(choice, plan, runner);
    }
    const roomy = open.filter((other) => hasRoom(ask, other, share));
    const own = planOwnRead(ask, cache, roomy, open, limitMs, now);
    return own && this.give(choice, own, own.engine);
  }

  /** Grants it, and uses a permit of each engine that gets a request. */
  private give(
    choice: Choice,
    plan: ReadPlan | undefined,
    runner: EngineState,
  ): Grant {
    const engines = new Set([plan?.engine ?? runner, runner]);
    for (const { view } of engines) this.permits.acquire(view.id, choice.now);
    return this.grant(choice, plan, runner);
  }

  private hasIdleReader(now: number): boolean {
    return this.engines
      .readers(now)
      .some((engine) => engine.backlogMs(now) <= START_AHEAD_MS);
  }

  /**
   * Of the engines that may read it: what the others do shortens no wait.
   * `fit`: those that may get it, also where they take no more for a moment.
   */
  private readingLoad(
    ask: PlacementAsk,
    fit: readonly EngineState[],
    now: number,
  ): ReadingLoad {
    const { permits } = this;
    const readers = this.engines
      .readers(now)
      .filter(({ view }) => !ask.unavailable.includes(view.id));
    const meanReadMs = this.meanReadMs.value;
    const engines = readingEngines(readers, permits, meanReadMs, now);
    const backlog = readers.reduce((sum, item) => sum + item.backlogMs(now), 0);
    const roomy = fit.filter((item) => hasRoom(ask, item, this.share()));
    const fullMs = roomy.length > 0 ? 0 : 1 / this.placed.endRate(now);
    const permitMs = Math.max(
      permitGapMs(readers, permits, now),
      permitGapMs(roomy, permits, now),
    );
    return {
      engines,
      backlogMs: backlog / Math.max(1, readers.length),
      urgentShare: this.urgentMs.rate(now) / Math.max(1, engines),
      roomMs: Math.max(fullMs, permitMs),
    };
  }

  /** From the end of a read to the first event at the caller, ms. */
  private get afterReadMs(): number {
    return this.placed.firstEventMs + HOPS_MS;
  }

  /**
   * Takes over a grant that another scheduler has given; `isRead`: an engine
   * has read its prompt, which nobody will report any more. Counted as under
   * way, such reads would keep the engines of a new holder from work for
   * seconds.
   */
  adopt(ask: PlacementAsk, grant: Grant, isRead: boolean, now: number): void {
    const runner = this.engines.get(grant.runner);
    if (runner === undefined || this.placed.has(ask.id)) return;
    const engine = grant.reader ? this.engines.get(grant.reader) : undefined;
    const cache = new PromptCache(ask);
    if (isRead) {
      const { parts } = cache;
      engine?.remember(parts);
      return this.placed.add(ask, { reader: undefined, runner, parts }, now);
    }
    const choice = { ask, cache, open: [], now };
    if (engine === undefined) return void this.grant(choice, undefined, runner);
    const cached = cache.at(engine);
    const costMs = engine.readCostMs(ask.promptTokens, cached);
    const endMs = engine.backlogMs(now) + costMs;
    const plan = { engine, cached, costMs, endMs, donor: undefined };
    this.grant(choice, plan, runner);
  }

  /** An engine says that it holds these parts. */
  learnCache(engine: string, held: readonly HeldPart[]): void {
    const parts = held.map(({ model, ...part }) => keyedPart(model, part));
    this.engines.get(engine)?.remember(parts);
  }

  onEvent(event: PlacementEvent, now: number): void {
    // The list of engines lacks it from now on.
    if (event.kind === "leaving") return;
    if (event.kind === "wrong-stage") {
      return this.engines.doubt(event.engine, now);
    }
    if (event.kind === "silent") {
      return this.engines.get(event.engine)?.noteSilent(now);
    }
    if (this.placed.has(event.id)) {
      return this.placed.onEvent(event, this.share() === 1, now);
    }
    if (event.kind === "ended") this.queue.drop(event.id);
  }

  /** Drops what was never reported on; returns the number of runs dropped. */
  expire(now: number): number {
    this.placed.expire(now);
    return this.engines.expire(now);
  }

  /** `plan`: absent where the runner reads a short rest by the way. */
  private grant(
    { ask, cache, now }: Choice,
    plan: ReadPlan | undefined,
    runner: EngineState,
  ): Grant {
    const reader = plan?.engine ?? runner;
    const { parts } = cache;
    const cached = plan?.cached ?? cache.at(reader);
    const costMs = plan?.costMs ?? reader.readCostMs(ask.promptTokens, cached);
    const work = workOf(ask.promptTokens, cached);
    reader.addRead(ask.id, work, costMs * this.share(), now);
    reader.expect(parts);
    const apart = reader === runner ? undefined : reader;
    this.placed.add(ask, { reader: apart, runner, parts }, now);
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
