/**
 * Where a model request is read and run, and whether it is served at all.
 * Pure: asks and events with a clock in, answers out. One scheduler serves
 * all entries of a service while it can be reached; each entry has one of
 * its own for the time when it can't.
 */
import { EngineState } from "./engineState.js";
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
/** Weight of an engine's reading time as a cost to everybody else. */
const READ_WEIGHT = 1;
/**
 * Longest read that a decode engine does besides its runs, ms: its streams
 * pause meanwhile, and pauses beyond some 150 ms make them late.
 */
const DECODE_READ_MS = 60;
/** Parts of fewer tokens are read again rather than moved. */
const LEAST_DONATED_TOKENS = 512;
/** Time to take cached parts from another engine, ms: links carry a token
 * in a tenth of a microsecond to one, and moves wait for each other. */
const MOVE_MS = 1;
const MOVE_MS_PER_TOKEN = 0.0004;
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
/** Runs of at least this many tokens are packed. */
const LONG_OUTPUT_TOKENS = 512;
/**
 * Packed engines are filled up to this share of slots or memory: beyond it
 * each step takes so much longer that the longest streams miss their time.
 */
const PACK_LOAD = 0.6;
/** Engines in another zone count as this much busier, share of slots. */
const OTHER_ZONE_COST = 0.02;
/** An engine that failed gets no work for this long at first, ms. */
const FIRST_CLOSE_MS = 700;
const LONGEST_CLOSE_MS = 6000;
const FAILURES_TO_CLOSE = 2;
/** Share of the KV memory that running requests may take. */
const RUN_MEMORY_SHARE = 0.92;

interface Placed {
  reader: EngineState | undefined;
  runner: EngineState;
  ask: PlacementAsk;
  at: number;
}

interface ReadPlan {
  engine: EngineState;
  costMs: number;
  /** From now until it is read, ms. */
  endMs: number;
  /** Engine to take cached parts from, if that is worth it. */
  donor: EngineState | undefined;
}

/** The engine that holds most of a prompt, and how much. */
interface Donor {
  engine: EngineState;
  cached: number;
}

/** Work asked for since start, for the planner of stages. */
export interface SchedulerLoad {
  /** Reading time of one prefill engine, refused requests included, ms. */
  readMs: number;
}

export class EngineScheduler {
  private readonly engines = new Map<string, EngineState>();
  private readonly placed = new Map<string, Placed>();
  private readonly fairness = new SizeFairness();
  private firstEventMs = FIRST_EVENT_MS;
  /** Mean time to read the prompts that were asked for, ms. */
  private meanReadMs = MEAN_READ_MS;
  readonly asked: SchedulerLoad = { readMs: 0 };

  /** `share`: how many schedulers place on these engines without talking. */
  constructor(private share: () => number) {}

  /** The engines that may get work; others keep what they run. */
  setEngines(views: readonly EngineView[]): void {
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
    const runner = this.chooseRunner(ask, open, now);
    if (runner === undefined) {
      const hasDecode = open.some((item) => item.view.stage === "decode");
      return this.refuse(ask, hasDecode ? "slots" : "no-engine");
    }
    const cachedAtRunner = runner.cachedTokens(ask.model, ask.parts);
    const isLong = ask.promptTokens - cachedAtRunner >= LEAST_SPLIT_TOKENS;
    if (!isLong) return this.grant(ask, undefined, runner, now);
    const plan = this.planRead(ask, open, now);
    if (!ask.isReturn) this.asked.readMs += plan?.costMs ?? 0;
    if (plan !== undefined && this.isInTime(ask, plan)) {
      return this.grant(ask, plan, runner, now);
    }
    const own = this.planOwnRead(ask, open, now);
    if (own !== undefined) return this.grant(ask, own, own.engine, now);
    if (plan === undefined) return this.refuse(ask, "no-engine");
    if (this.mayBeLate(ask, plan)) return this.grant(ask, plan, runner, now);
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
    if (engine === undefined)
      return void this.grant(ask, undefined, runner, now);
    const cached = engine.cachedTokens(ask.model, ask.parts);
    const costMs = engine.readCostMs(ask.promptTokens, cached);
    const endMs = engine.backlogMs(now) + costMs;
    const plan = { engine, costMs, endMs, donor: undefined };
    this.grant(ask, plan, runner, now);
  }

  onEvent(event: PlacementEvent, now: number): void {
    const placed = this.placed.get(event.id);
    if (placed === undefined) return;
    const { reader, runner, ask } = placed;
    switch (event.kind) {
      case "read":
        reader?.endRead(event.id, event.ok, now);
        if (reader !== undefined) this.judge(reader, event.ok, now);
        return;
      case "begun":
        runner.endRead(event.id, false, now);
        runner.remember(ask.model, ask.parts);
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
        if (event.ok) runner.remember(ask.model, ask.parts);
        this.judge(runner, event.ok, now);
        return;
    }
  }

  /** Drops what was never reported on. */
  expire(now: number): void {
    for (const engine of this.engines.values()) engine.expire(now);
    for (const [id, { ask, at }] of this.placed) {
      if (now - at > ask.deadlineLeftMs + LONGEST_CLOSE_MS) {
        this.placed.delete(id);
      }
    }
  }

  private openEngines(ask: PlacementAsk, now: number): EngineState[] {
    return [...this.engines.values()].filter(
      (item) => item.closedUntil <= now && !ask.avoid.includes(item.view.id),
    );
  }

  private chooseRunner(
    ask: PlacementAsk,
    open: readonly EngineState[],
    now: number,
  ): EngineState | undefined {
    let best: { engine: EngineState; cost: number } | undefined;
    for (const engine of open) {
      if (engine.view.stage !== "decode") continue;
      const cost = this.runCost(ask, engine, now);
      if (cost === undefined) continue;
      if (best === undefined || cost < best.cost) best = { engine, cost };
    }
    return best?.engine;
  }

  /** Share of its slots or memory in use; undefined if it is full. */
  private runCost(
    ask: PlacementAsk,
    engine: EngineState,
    now: number,
  ): number | undefined {
    const { slots, kvCapacityTokens, zone } = engine.view;
    const runs = engine.runCount * this.share();
    if (runs + 1 > slots) return undefined;
    const needed = ask.promptTokens + ask.outputTokens;
    const tokens = engine.runTokens * this.share() + needed;
    const memory = tokens / (kvCapacityTokens * RUN_MEMORY_SHARE);
    if (memory > 1 && engine.runCount > 0) return undefined;
    const away = zone === ask.zone ? 0 : OTHER_ZONE_COST;
    const reading = engine.backlogMs(now) / 1000;
    const load = Math.max(runs / slots, memory);
    if (ask.outputTokens < LONG_OUTPUT_TOKENS) return load + away + reading;
    // Long runs fill one engine after the other, so that the rest can change
    // their stage without a wait, and read without slowing streams.
    const isPacked = load <= PACK_LOAD;
    return (isPacked ? 1 - load : 1 + load) + away + reading;
  }

  /** The prefill engine that has read the prompt first and at least cost. */
  private planRead(
    ask: PlacementAsk,
    open: readonly EngineState[],
    now: number,
  ): ReadPlan | undefined {
    const donor = this.findDonor(ask, open);
    let best: (ReadPlan & { score: number }) | undefined;
    for (const engine of open) {
      if (engine.view.stage !== "prefill") continue;
      const plan = this.readAt(ask, engine, donor, now);
      const score = plan.endMs + plan.costMs * READ_WEIGHT;
      if (best === undefined || score < best.score) best = { ...plan, score };
    }
    return best;
  }

  private readAt(
    ask: PlacementAsk,
    engine: EngineState,
    donor: Donor | undefined,
    now: number,
  ): ReadPlan {
    const own = engine.cachedTokens(ask.model, ask.parts);
    const more = (donor?.cached ?? 0) - own;
    const isWorth = donor !== undefined && more >= LEAST_DONATED_TOKENS;
    const cached = isWorth ? donor.cached : own;
    const moveMs = isWorth ? MOVE_MS + more * MOVE_MS_PER_TOKEN : 0;
    const costMs = engine.readCostMs(ask.promptTokens, cached) + moveMs;
    const endMs = engine.backlogMs(now) + costMs;
    const from = isWorth ? donor.engine : undefined;
    return { engine, costMs, endMs, donor: from };
  }

  private findDonor(
    ask: PlacementAsk,
    open: readonly EngineState[],
  ): Donor | undefined {
    let best: Donor | undefined;
    for (const engine of open) {
      const cached = engine.cachedTokens(ask.model, ask.parts);
      if (cached > (best?.cached ?? 0)) best = { engine, cached };
    }
    return best;
  }

  /** A decode engine that can read the prompt itself in time. */
  private planOwnRead(
    ask: PlacementAsk,
    open: readonly EngineState[],
    now: number,
  ): ReadPlan | undefined {
    const donor = this.findDonor(ask, open);
    let best: ReadPlan | undefined;
    for (const engine of open) {
      if (engine.view.stage !== "decode" || engine.readCount > 0) continue;
      if (this.runCost(ask, engine, now) === undefined) continue;
      const plan = this.readAt(ask, engine, donor, now);
      if (plan.costMs > DECODE_READ_MS) continue;
      if (plan.endMs + this.afterReadMs > ask.objectiveLeftMs) continue;
      if (best === undefined || plan.endMs < best.endMs) best = plan;
    }
    return best;
  }

  /** `plan`: absent where the runner reads a short rest by the way. */
  private grant(
    ask: PlacementAsk,
    plan: ReadPlan | undefined,
    runner: EngineState,
    now: number,
  ): PlacementAnswer {
    const reader = plan?.engine ?? runner;
    const cached = reader.cachedTokens(ask.model, ask.parts);
    const costMs = plan?.costMs ?? reader.readCostMs(ask.promptTokens, cached);
    reader.addRead(ask.id, costMs * this.share(), now);
    reader.remember(ask.model, ask.parts);
    const needed = ask.promptTokens + ask.outputTokens;
    runner.addRun(ask.id, needed, now + ask.deadlineLeftMs, now);
    const apart = reader === runner ? undefined : reader;
    this.placed.set(ask.id, { reader: apart, runner, ask, at: now });
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
      retryAfterMs: Math.max(LEAST_RETRY_MS, pauseMs),
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
