/**
 * Plays one load in virtual time on the product's own decisions, with a model
 * of engines, hops and callers, and counts what callers get.
 */
import type {
  Grant,
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
  StreamResult,
} from "../../src/scheduling/index.js";
import { seededRng } from "../../src/shared/rng.js";
import { VirtualClock } from "./clock.js";
import type { EngineModel } from "./engineModel.js";
import { WARM_UP_MS, ModelFleet } from "./fleet.js";
import type { StageCount } from "./fleet.js";
import { drawRequests } from "./load.js";
import type { DrawnRequest, Load } from "./load.js";
import { newTally } from "./tally.js";
import type { Tally } from "./tally.js";

const MS_PER_SECOND = 1000;
/** Rounds of placement of one request at the most. */
const MAX_ROUNDS = 4;
/** Callers give a stream up that has not begun after this, ms at least. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 2000;
/** After the last request, for what is under way, ms. */
const TAIL_MS = 20_000;
/** Weight of an output token relative to a prompt token in a request's size. */
const OUTPUT_WEIGHT = 10;
/** What a late answer is worth of one in time. */
const LATE_WORTH = 0.3;

export interface PlayResult {
  tallies: Map<string, Tally>;
  stages: StageCount[];
  changes: number;
  /** Most runs of an engine that the scheduler did not count. */
  maxUncountedRuns: number;
  /** Mean over all requests: 1 in time, less if late, 0 without an answer. */
  worth: number;
}

/** One try of a request; a refused caller comes back once with another. */
interface Attempt {
  drawn: DrawnRequest;
  id: string;
  /** Of the first try: objective and deadline count from it. */
  firstArrivedAt: number;
  /** Of this one. */
  arrivedAt: number;
  isReturn: boolean;
  avoid: string[];
  rounds: number;
}

export class Play {
  private readonly clock = new VirtualClock();
  private readonly fleet: ModelFleet;
  private readonly tallies = new Map<string, Tally>();
  private readonly waiting = new Map<string, Attempt>();
  private sequence = 0;

  constructor(
    private readonly load: Load,
    seed: number,
  ) {
    this.fleet = new ModelFleet(load, this.clock, ({ id, answer }) => {
      const waiting = this.waiting.get(id);
      this.waiting.delete(id);
      if (waiting !== undefined) this.onAnswer(waiting, answer);
    });
    for (const { name } of load.kinds) this.tallies.set(name, newTally());
    for (const drawn of drawRequests(load, seededRng(seed))) {
      this.clock.after(WARM_UP_MS + drawn.at, () => this.begin(drawn));
    }
  }

  run(): PlayResult {
    this.clock.run(WARM_UP_MS + this.load.seconds * MS_PER_SECOND + TAIL_MS);
    let earned = 0;
    let owed = 0;
    for (const { asked, inTime, late } of this.tallies.values()) {
      earned += inTime + late * LATE_WORTH;
      owed += asked;
    }
    const { stages, changes, maxUncountedRuns } = this.fleet;
    const { tallies } = this;
    const worth = earned / owed;
    return { tallies, stages, changes, maxUncountedRuns, worth };
  }

  private begin(drawn: DrawnRequest): void {
    this.tally(drawn).asked += 1;
    const { now } = this.clock;
    const fresh = {
      id: "",
      firstArrivedAt: now,
      arrivedAt: now,
      isReturn: false,
    };
    this.requestPlacement({ drawn, ...fresh, avoid: [], rounds: 0 });
  }

  private requestPlacement(one: Attempt): void {
    this.sequence += 1;
    one.rounds += 1;
    one.id = `r${this.sequence}`;
    this.clock.after(this.load.hopMs, () => {
      const ask = this.placementRequest(one);
      const answer = this.fleet.scheduler.place(ask, this.clock.now);
      if (answer.kind === "queued") this.waiting.set(one.id, one);
      else this.onAnswer(one, answer);
    });
  }

  private placementRequest({
    drawn,
    id,
    firstArrivedAt,
    arrivedAt,
    ...one
  }: Attempt): PlacementRequest {
    const { kind, parts, promptTokens, estimatedEvents } = drawn;
    const { now } = this.clock;
    const deadlineMs = firstArrivedAt + kind.deadlineMs - now;
    const patienceMs = arrivedAt + firstEventTimeoutMs(kind) - now;
    return {
      id,
      service: "model",
      unavailable: [],
      route: kind.name,
      domain: "one",
      model: "m",
      promptTokens,
      outputTokens: Math.round(estimatedEvents * kind.tokensPerEvent),
      mostOutputTokens: Math.round(drawn.maxEvents * kind.tokensPerEvent),
      parts,
      objectiveLeftMs: firstArrivedAt + kind.objectiveMs - now,
      deadlineLeftMs: Math.min(deadlineMs, patienceMs),
      answerLeftMs: deadlineMs,
      priority: kind.priority,
      isReturn: one.isReturn,
      avoid: one.avoid,
    };
  }

  private onAnswer(one: Attempt, answer: PlacementAnswer): void {
    if (answer.kind === "granted") {
      return this.clock.after(this.load.hopMs, () => this.prefill(one, answer));
    }
    const leftMs = this.deadlineAt(one) - this.clock.now;
    const pauseMs = answer.retryAfterMs + this.load.hopMs;
    if (one.isReturn || pauseMs >= leftMs) {
      this.tally(one.drawn).refused += 1;
      this.recordOutcome(one, false);
      return this.countIfInVain(one);
    }
    this.clock.after(pauseMs, () => {
      const arrivedAt = this.clock.now;
      this.requestPlacement({
        ...one,
        arrivedAt,
        isReturn: true,
        avoid: [],
        rounds: 0,
      });
    });
  }

  private prefill(one: Attempt, grant: Grant): void {
    if (grant.reader === undefined) return this.startRun(one, grant);
    const reader = this.fleet.engine(grant.reader);
    if (reader?.acceptsWork !== true || reader.stage !== "prefill") {
      return this.retryPlacement(one, grant.reader);
    }
    const endMs = this.startPrefill(one, reader, grant);
    const { incarnation } = reader;
    this.clock.after(endMs - this.clock.now + this.load.hopMs, () => {
      const isLost = reader.incarnation !== incarnation;
      this.report({ kind: "read", id: one.id, ok: !isLost });
      if (isLost) return this.retryPlacement(one, reader.id);
      if (this.isPastDeadline(one)) return this.endUnserved(one, true);
      this.clock.after(this.load.hopMs, () => this.startRun(one, grant));
    });
  }

  private startPrefill(
    { drawn }: Attempt,
    reader: EngineModel,
    grant: Grant,
  ): number {
    const { parts, promptTokens } = drawn;
    const donor = grant.donor ? this.fleet.engine(grant.donor) : undefined;
    return reader.prefill(parts, promptTokens, donor, this.clock.now);
  }

  private startRun(one: Attempt, grant: Grant): void {
    const runner = this.fleet.engine(grant.runner);
    const { slots } = this.load.engines;
    if (runner?.acceptsWork !== true || runner.stage !== "decode") {
      return this.retryPlacement(one, grant.runner);
    }
    if (runner.runs >= slots) return this.retryPlacement(one, grant.runner);
    const { now } = this.clock;
    const isOwnRead = grant.reader === undefined;
    const readyAt = isOwnRead ? this.startPrefill(one, runner, grant) : now;
    if (!isOwnRead) runner.addToCache(one.drawn.parts);
    runner.runs += 1;
    runner.runTokens += one.drawn.promptTokens;
    this.streamEvents(one, runner, readyAt - now, isOwnRead);
  }

  /** Makes the events of one run, one after the other. */
  private streamEvents(
    one: Attempt,
    runner: EngineModel,
    readMs: number,
    isOwnRead: boolean,
  ): void {
    const { kind, events } = one.drawn;
    const { incarnation } = runner;
    const sentAt = this.clock.now;
    let firstAt: number | undefined;
    let made = 0;
    let isSmooth = true;
    const releaseRun = (): void => {
      runner.runs -= 1;
      runner.runTokens -= one.drawn.promptTokens + made * kind.tokensPerEvent;
    };
    const next = (): void => {
      if (runner.incarnation !== incarnation)
        return this.onCrash(one, firstAt !== undefined);
      made += 1;
      runner.runTokens += kind.tokensPerEvent;
      if (firstAt === undefined) {
        firstAt = this.clock.now;
        if (isOwnRead) this.report({ kind: "begun", id: one.id });
      }
      if (
        this.isPastDeadline(one) ||
        (made === 1 && this.isFirstEventOverdue(one))
      ) {
        releaseRun();
        const tookMs = this.clock.now - firstAt;
        return this.endUnserved(one, true, {
          events: made,
          tookMs,
          isCut: true,
        });
      }
      if (made >= events) {
        releaseRun();
        return this.endServed(one, firstAt, sentAt, isSmooth);
      }
      const pauseMs = runner.eventMs(kind.tokensPerEvent);
      isSmooth &&= pauseMs <= kind.gapMs;
      this.clock.after(pauseMs, next);
    };
    this.clock.after(readMs + this.load.hopMs + runner.eventMs(1), next);
  }

  private endServed(
    one: Attempt,
    firstAt: number,
    sentAt: number,
    isSmooth: boolean,
  ): void {
    const tally = this.tally(one.drawn);
    const firstMs = firstAt - one.firstArrivedAt;
    tally.firstMs.push(firstMs);
    if (isSmooth && firstMs <= one.drawn.kind.objectiveMs) tally.inTime += 1;
    else tally.late += 1;
    this.recordOutcome(one, true);
    const firstEventMs = firstAt - sentAt;
    const tookMs = this.clock.now - firstAt;
    const stream = { events: one.drawn.events, tookMs, isCut: false };
    this.report({ kind: "ended", id: one.id, ok: true, firstEventMs, stream });
  }

  /** Ends with nothing for its caller. */
  private endUnserved(one: Attempt, ok: boolean, stream?: StreamResult): void {
    this.tally(one.drawn).failed += 1;
    // A run that its engine's crash cut off does not reflect on scheduling.
    if (ok) this.recordOutcome(one, false);
    this.countIfInVain(one);
    this.report({ kind: "ended", id: one.id, ok, firstEventMs: 0, stream });
  }

  private onCrash(one: Attempt, hasBegun: boolean): void {
    if (hasBegun) return this.endUnserved(one, false);
    this.report({ kind: "ended", id: one.id, ok: false, firstEventMs: 0 });
    this.tally(one.drawn).failed += 1;
  }

  /** Another round, without the engine that failed it. */
  private retryPlacement(one: Attempt, engine: string): void {
    this.report({ kind: "ended", id: one.id, ok: false, firstEventMs: 0 });
    if (one.rounds >= MAX_ROUNDS || this.isPastDeadline(one)) {
      this.tally(one.drawn).failed += 1;
      this.recordOutcome(one, false);
      return this.countIfInVain(one);
    }
    this.requestPlacement({ ...one, avoid: [...one.avoid, engine] });
  }

  private report(event: PlacementEvent): void {
    this.clock.after(this.load.hopMs, () => {
      this.fleet.scheduler.onEvent(event, this.clock.now);
    });
  }

  private deadlineAt({ firstArrivedAt, drawn }: Attempt): number {
    return firstArrivedAt + drawn.kind.deadlineMs;
  }

  private isPastDeadline(one: Attempt): boolean {
    return this.clock.now >= this.deadlineAt(one);
  }

  private isFirstEventOverdue({ arrivedAt, drawn }: Attempt): boolean {
    return this.clock.now >= arrivedAt + firstEventTimeoutMs(drawn.kind);
  }

  private countIfInVain(one: Attempt): void {
    const heldMs = this.clock.now - one.arrivedAt;
    if (heldMs > one.drawn.kind.deadlineMs / 2) {
      this.tally(one.drawn).inVain += 1;
    }
  }

  private recordOutcome({ drawn }: Attempt, isServed: boolean): void {
    const { kind, promptTokens, events } = drawn;
    const size = promptTokens + OUTPUT_WEIGHT * events * kind.tokensPerEvent;
    this.tally(drawn).outcomes.push({ size, isServed });
  }

  private tally({ kind }: DrawnRequest): Tally {
    return this.tallies.get(kind.name) ?? newTally();
  }
}

/** How long callers wait for a first event, ms. */
const firstEventTimeoutMs = ({
  objectiveMs,
  gapMs,
}: DrawnRequest["kind"]): number =>
  Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, 4 * objectiveMs, 8 * gapMs);
