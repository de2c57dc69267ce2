/**
 * Where a model request is read and run, and whether it is served at all.
 * Pure: asks and events with a clock in, answers out. One scheduler serves
 * all entries of a service while it can be reached; each entry has one of
 * its own for the time when it can't.
 */
import { EngineState } from "./engineState.js";
import { PromptCache } from "./promptCache.js";
import type { KeyedPart } from "./promptCache.js";
import { planOwnRead, planRead } from "./readPlanner.js";
import type { ReadPlan } from "./readPlanner.js";
import { chooseRunner, hasRoom } from "./runPlanner.js";
import { SizeFairness } from "./sizeFairness.js";
import type {
  EngineView,
  Grant,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
  Refusal,
} from "./types.js";

/** Shorter unread prompts are read where they run. */
const LEAST_SPLIT_TOKENS = 1024;
/** Time of the hops between the end of a read and the caller, ms. */
const HOPS_MS = 16;
/** Start of the estimate of a run's first event, ms after its send. */
const FIRST_EVENT_MS = 50;
const FIRST_EVENT_GAIN = 0.05;
/** Start of the mean time to read a prompt, ms. */
const MEAN_READ_MS = 20;
const MEAN_READ_GAIN = 0.02;
/** One token of output counts as this many of the prompt in a size. */
const OUTPUT_WEIGHT = 10;
/** Longest wait for a prompt that is late by its own length alone, ms. */
const LONG_PROMPT_WAIT_MS = 30;
/**
 * Part of its time after which a refused caller is told to come back. A rush
 * outlasts shorter pauses, and a caller that is refused twice is worse off;
 * callers don't wait for longer than a third of their time.
 */
const RETRY_PART = 0.33;
const LEAST_RETRY_MS = 200;
/** A long answer needs the rest of its time: no pause is longer, ms. */
const LONGEST_RETRY_MS = 1000;
/** An engine that failed gets no work for this long at first, ms. */
const FIRST_CLOSE_MS = 700;
const LONGEST_CLOSE_MS = 6000;
const FAILURES_TO_CLOSE = 2;
interface Placed {
  reader: EngineState | undefined;
  runner: EngineState;
  parts: readonly KeyedPart[];
  /** Instant after which its end will not be reported any more, ms. */
  lostAt: number;
}

/** Work asked for since start, for the planner of stages. */
export interface SchedulerLoad {
  /** Reading time of one prefill engine, refused requests included, ms. */
  readMs: number;
}

export class EngineScheduler {
  private readonly engines = new Map<string, EngineState>();
  private readonly placed = new Map<string, Placed>();
  /** The list that was set last. */
  private views: readonly EngineView[] | undefined;
  private readonly fairness = new SizeFairness();
  private firstEventMs = FIRST_EVENT_MS;
  /** Mean time to read the prompts that were asked for, ms. */
  private meanReadMs = MEAN_READ_MS;
  readonly asked: SchedulerLoad = { readMs: 0 };

  /** `share`: how many schedulers place on these engines without talking. */
  constructor(private share: () => number) {}

  /**
   * The engines that may get work; others keep what they run. The same list
   * again, not a copy, changes nothing.
   */
  setEngines(views: readonly EngineView[]): void {
    if (views === this.views) return;
    this.views = views;
    const listed = new Set(views.map((view) => view.id));
    for (const id of this.engines.keys()) {
      if (!listed.has(id)) this.engines.delete(id);
    }
    for (const view of views) {
      const known = this.engines.get(view.id);
      if (known === undefined) this.engines.set(view.id, new EngineState(view));
      else known.view = view;
    }
  }

  engineStates(): EngineState[] {
    return [...this.engines.values()];
  }

  /** Closes an engine to new work until an instant. */
  close(id: string, until: number): void {
    const engine = this.engines.get(id);
    if (engine !== undefined) engine.closedUntil = until;
  }

  place(ask: PlacementAsk, now: number): PlacementAnswer {
    const answer = this.decide(ask, now);
    if (ask.avoid.length === 0) {
      const size = ask.promptTokens + OUTPUT_WEIGHT * ask.outputTokens;
      this.fairness.count(ask.route, size, answer.kind === "granted");
    }
    return answer;
  }

  private decide(ask: PlacementAsk, now: number): PlacementAnswer {
    const open = this.openEngines(ask, now);
    const share = this.share();
    const runner = chooseRunner(ask, open, share, now);
    if (runner === undefined) {
      const hasDecode = open.some((item) => item.view.stage === "decode");
      return this.refuse(ask, hasDecode ? "slots" : "no-engine");
    }
    const cache = new PromptCache(ask);
    const isLong = ask.promptTokens - cache.at(runner) >= LEAST_SPLIT_TOKENS;
    if (!isLong) return this.grant(ask, cache, undefined, runner, now);
    const plan = planRead(ask, cache, open, now);
    if (!ask.isReturn) this.asked.readMs += plan?.costMs ?? 0;
    if (plan !== undefined && this.isInTime(ask, plan)) {
      return this.grant(ask, cache, plan, runner, now);
    }
    const roomy = open.filter((item) => hasRoom(ask, item, share));
    const limitMs = ask.objectiveLeftMs - this.afterReadMs;
    const own = planOwnRead(ask, cache, roomy, open, limitMs, now);
    if (own !== undefined) return this.grant(ask, cache, own, own.engine, now);
    if (plan === undefined) return this.refuse(ask, "no-engine");
    if (this.mayBeLate(ask, plan)) {
      return this.grant(ask, cache, plan, runner, now);
    }
    return this.refuse(ask, "too-late");
  }

  private isInTime(ask: PlacementAsk, plan: ReadPlan): boolean {
    this.meanReadMs += (plan.costMs - this.meanReadMs) * MEAN_READ_GAIN;
    return plan.endMs + this.afterReadMs <= ask.objectiveLeftMs;
  }

  /**
   * A prompt that is late by its own length alone is served late, after a
   * short wait; where prompts of its size fall behind, after as long a wait
   * as others have.
   */
  private mayBeLate(ask: PlacementAsk, plan: ReadPlan): boolean {
    const isLateAnyway = plan.costMs + this.afterReadMs > ask.objectiveLeftMs;
    const isLarge = plan.costMs > this.meanReadMs;
    if (!isLateAnyway && !isLarge) return false;
    if (plan.endMs + this.afterReadMs > ask.deadlineLeftMs) return false;
    const waitMs = plan.endMs - plan.costMs;
    if (isLateAnyway && waitMs <= LONG_PROMPT_WAIT_MS) return true;
    const size = ask.promptTokens + OUTPUT_WEIGHT * ask.outputTokens;
    const usualWaitMs =
      ask.objectiveLeftMs - this.meanReadMs - this.afterReadMs;
    return waitMs <= usualWaitMs && this.fairness.lags(ask.route, size);
  }

  /** From the end of a read to the first event at the caller, ms. */
  private get afterReadMs(): number {
    return this.firstEventMs + HOPS_MS;
  }

  /** Takes over a grant that another scheduler has given. */
  adopt(ask: PlacementAsk, grant: Grant, now: number): void {
    const runner = this.engines.get(grant.runner);
    if (runner === undefined || this.placed.has(ask.id)) return;
    const engine = grant.reader ? this.engines.get(grant.reader) : undefined;
    const cache = new PromptCache(ask);
    if (engine === undefined)
      return void this.grant(ask, cache, undefined, runner, now);
    const costMs = engine.readCostMs(ask.promptTokens, cache.at(engine));
    const endMs = engine.backlogMs(now) + costMs;
    const plan = { engine, costMs, endMs, donor: undefined };
    this.grant(ask, cache, plan, runner, now);
  }

  onEvent(event: PlacementEvent, now: number): void {
    const placed = this.placed.get(event.id);
    if (placed === undefined) return;
    const { reader, runner, parts } = placed;
    switch (event.kind) {
      case "read":
        reader?.endRead(event.id, event.ok, now);
        if (reader !== undefined) this.judge(reader, event.ok, now);
        return;
      case "begun":
        runner.endRead(event.id, false, now);
        runner.remember(parts);
        this.judge(runner, true, now);
        return;
      case "ended":
        reader?.endRead(event.id, false, now);
        runner.endRead(event.id, false, now);
        runner.endRun(event.id);
        this.placed.delete(event.id);
        if (reader !== undefined && event.firstEventMs > 0) {
          const more = event.firstEventMs - this.firstEventMs;
          this.firstEventMs += more * FIRST_EVENT_GAIN;
        }
        if (event.ok) runner.remember(parts);
        this.judge(runner, event.ok, now);
        return;
    }
  }

  /** Drops what was never reported on. */
  expire(now: number): void {
    for (const engine of this.engines.values()) engine.expire(now);
    for (const [id, { lostAt }] of this.placed) {
      if (now > lostAt) this.placed.delete(id);
    }
  }

  private openEngines(ask: PlacementAsk, now: number): EngineState[] {
    return [...this.engines.values()].filter(
      (item) => item.closedUntil <= now && !ask.avoid.includes(item.view.id),
    );
  }

  /** `plan`: absent where the runner reads a short rest by the way. */
  private grant(
    ask: PlacementAsk,
    cache: PromptCache,
    plan: ReadPlan | undefined,
    runner: EngineState,
    now: number,
  ): PlacementAnswer {
    const reader = plan?.engine ?? runner;
    const { parts } = cache;
    const costMs =
      plan?.costMs ?? reader.readCostMs(ask.promptTokens, cache.at(reader));
    reader.addRead(ask.id, costMs * this.share(), now);
    reader.remember(parts);
    const needed = ask.promptTokens + ask.outputTokens;
    runner.addRun(ask.id, needed, now + ask.deadlineLeftMs, now);
    const apart = reader === runner ? undefined : reader;
    const { deadlineLeftMs } = ask;
    const lostAt = now + deadlineLeftMs + LONGEST_CLOSE_MS;
    this.placed.set(ask.id, { reader: apart, runner, parts, lostAt });
    return {
      kind: "granted",
      reader: apart?.view.id,
      runner: runner.view.id,
      donor: plan?.donor?.view.id,
      readMs: plan?.endMs ?? 0,
    };
  }

  private refuse(ask: PlacementAsk, why: Refusal["why"]): Refusal {
    const pauseMs = ask.deadlineLeftMs * RETRY_PART;
    return {
      kind: "refused",
      why,
      retryAfterMs: Math.min(
        LONGEST_RETRY_MS,
        Math.max(LEAST_RETRY_MS, pauseMs),
      ),
    };
  }

  private judge(engine: EngineState, ok: boolean, now: number): void {
    if (ok) {
      engine.failures = 0;
      return;
    }
    engine.failures += 1;
    if (engine.failures < FAILURES_TO_CLOSE || engine.closedUntil > now) return;
    const times = engine.failures - FAILURES_TO_CLOSE;
    const pause = Math.min(LONGEST_CLOSE_MS, FIRST_CLOSE_MS * 2 ** times);
    engine.closedUntil = now + pause;
  }
}
