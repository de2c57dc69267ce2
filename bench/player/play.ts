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
import { LEAD_MS, ModelFleet } from "./fleet.js";
import type { StageCount } from "./fleet.js";
import { drawRequests } from "./load.js";
import type { DrawnRequest, Load } from "./load.js";
import { newTally } from "./tally.js";
import type { Tally } from "./tally.js";

const MS = 1000;
/** Rounds of placement of one request at the most. */
const MAX_ROUNDS = 4;
/** Callers give a stream up that has not begun after this, ms at least. */
const LEAST_SILENCE_MS = 2000;
/** After the last request, for what is under way, ms. */
const TAIL_MS = 20_000;
/** Weight of an output token relative to a prompt token in a request's size. */
const OUTPUT_WEIGHT = 10;
/** What a late answer is worth of one in time. */
const LATE_WORTH = 0.3;

export interface Played {
  tallies: Map<string, Tally>;
  stages: StageCount[];
  changes: number;
  /** Most runs of an engine that the scheduler did not count. */
  mostUncountedRuns: number;
  /** Mean over all requests: 1 in time, less if late, 0 without an answer. */
  worth: number;
}

/** One try of a request; a refused caller comes back once with another. */
interface Try {
  drawn: DrawnRequest;
  id: string;
  /** Of the first try: objective and deadline count from it. */
  begunAt: number;
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
  private readonly waiting = new Map<string, Try>();
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
      this.clock.after(LEAD_MS + drawn.at, () => this.begin(drawn));
    }
  }

  run(): Played {
    this.clock.run(LEAD_MS + this.load.seconds * MS + TAIL_MS);
    let earned = 0;
    let owed = 0;
    for (const { asked, inTime, late } of this.tallies.values()) {
      earned += inTime + late * LATE_WORTH;
      owed += asked;
    }
    const { stages, changes, mostUncountedRuns } = this.fleet;
    const { tallies } = this;
    const worth = earned / owed;
    return { tallies, stages, changes, mostUncountedRuns, worth };
  }

  private begin(drawn: DrawnRequest): void {
    this.tally(drawn).asked += 1;
    const { now } = this.clock;
    const fresh = { id: "", begunAt: now, arrivedAt: now, isReturn: false };
    this.ask({ drawn, ...fresh, avoid: [], rounds: 0 });
  }

  private ask(one: Try): void {
    this.sequence += 1;
    one.rounds += 1;
    one.id = `r${this.sequence}`;
    this.clock.after(this.load.hopMs, () => {
      const ask = this.askOf(one);
      const answer = this.fleet.scheduler.place(ask, this.clock.now);
      if (answer.kind === "queued") this.waiting.set(one.id, one);
      else this.onAnswer(one, answer);
    });
  }

  private askOf({
    drawn,
    id,
    begunAt,
    arrivedAt,
    ...one
  }: Try): PlacementRequest {
    const { kind, parts, promptTokens, guessedEvents } = drawn;
    const { now } = this.clock;
    const deadlineMs = begunAt + kind.deadlineMs - now;
    const patienceMs = arrivedAt + silenceMs(kind) - now;
    return {
      id,
      service: "model",
      unavailable: [],
      route: kind.name,
      domain: "one",
      model: "m",
      promptTokens,
      outputTokens: Math.round(guessedEvents * kind.tokensPerEvent),
      mostOutputTokens: Math.round(drawn.mostEvents * kind.tokensPerEvent),
      parts,
      objectiveLeftMs: begunAt + kind.objectiveMs - now,
      deadlineLeftMs: Math.min(deadlineMs, patienceMs),
      answerLeftMs: deadlineMs,
      priority: kind.priority,
      isReturn: one.isReturn,
      avoid: one.avoid,
    };
  }

  private onAnswer(one: Try, answer: PlacementAnswer): void {
    if (answer.kind === "granted") {
      return this.clock.after(this.load.hopMs, () => this.read(one, answer));
    }
    const leftMs = this.deadlineAt(one) - this.clock.now;
    const pauseMs = answer.retryAfterMs + this.load.hopMs;
    if (one.isReturn || pauseMs >= leftMs) {
      this.tally(one.drawn).refused += 1;
      this.noteOutcome(one, false);
      return this.noteVain(one);
    }
    this.clock.after(pauseMs, () => {
      const arrivedAt = this.clock.now;
      this.ask({ ...one, arrivedAt, isReturn: true, avoid: [], rounds: 0 });
    });
  }

  private read(one: Try, grant: Grant): void {
    if (grant.reader === undefined) return this.start(one, grant);
    const reader = this.fleet.engine(grant.reader);
    if (reader?.takesWork !== true || reader.stage !== "prefill") {
      return this.again(one, grant.reader);
    }
    const endMs = this.readEnd(one, reader, grant);
    const { life } = reader;
    this.clock.after(endMs - this.clock.now + this.load.hopMs, () => {
      const isLost = reader.life !== life;
      this.report({ kind: "read", id: one.id, ok: !isLost });
      if (isLost) return this.again(one, reader.id);
      if (this.isOver(one)) return this.give(one, true);
      this.clock.after(this.load.hopMs, () => this.start(one, grant));
    });
  }

  private readEnd({ drawn }: Try, reader: EngineModel, grant: Grant): number {
    const { parts, promptTokens } = drawn;
    const donor = grant.donor ? this.fleet.engine(grant.donor) : undefined;
    return reader.read(parts, promptTokens, donor, this.clock.now);
  }

  private start(one: Try, grant: Grant): void {
    const runner = this.fleet.engine(grant.runner);
    const { slots } = this.load.engines;
    if (runner?.takesWork !== true || runner.stage !== "decode") {
      return this.again(one, grant.runner);
    }
    if (runner.runs >= slots) return this.again(one, grant.runner);
    const { now } = this.clock;
    const isOwnRead = grant.reader === undefined;
    const readyAt = isOwnRead ? this.readEnd(one, runner, grant) : now;
    if (!isOwnRead) runner.keep(one.drawn.parts);
    runner.runs += 1;
    runner.runTokens += one.drawn.promptTokens;
    this.stream(one, runner, readyAt - now, isOwnRead);
  }

  /** Makes the events of one run, one after the other. */
  private stream(
    one: Try,
    runner: EngineModel,
    readMs: number,
    isOwnRead: boolean,
  ): void {
    const { kind, events } = one.drawn;
    const { life } = runner;
    const sentAt = this.clock.now;
    let firstAt: number | undefined;
    let made = 0;
    let isSmooth = true;
    const releaseRun = (): void => {
      runner.runs -= 1;
      runner.runTokens -= one.drawn.promptTokens + made * kind.tokensPerEvent;
    };
    const next = (): void => {
      if (runner.life !== life) return this.lost(one, firstAt !== undefined);
      made += 1;
      runner.runTokens += kind.tokensPerEvent;
      if (firstAt === undefined) {
        firstAt = this.clock.now;
        if (isOwnRead) this.report({ kind: "begun", id: one.id });
      }
      if (this.isOver(one) || (made === 1 && this.isTooSilent(one))) {
        releaseRun();
        const tookMs = this.clock.now - firstAt;
        return this.give(one, true, { events: made, tookMs, isCut: true });
      }
      if (made >= events) {
        releaseRun();
        return this.serve(one, firstAt, sentAt, isSmooth);
      }
      const pauseMs = runner.eventMs(kind.tokensPerEvent);
      isSmooth &&= pauseMs <= kind.gapMs;
      this.clock.after(pauseMs, next);
    };
    this.clock.after(readMs + this.load.hopMs + runner.eventMs(1), next);
  }

  private serve(
    one: Try,
    firstAt: number,
    sentAt: number,
    isSmooth: boolean,
  ): void {
    const tally = this.tally(one.drawn);
    const firstMs = firstAt - one.begunAt;
    tally.firstMs.push(firstMs);
    if (isSmooth && firstMs <= one.drawn.kind.objectiveMs) tally.inTime += 1;
    else tally.late += 1;
    this.noteOutcome(one, true);
    const firstEventMs = firstAt - sentAt;
    const tookMs = this.clock.now - firstAt;
    const stream = { events: one.drawn.events, tookMs, isCut: false };
    this.report({ kind: "ended", id: one.id, ok: true, firstEventMs, stream });
  }

  /** Ends with nothing for its caller. */
  private give(one: Try, ok: boolean, stream?: StreamResult): void {
    this.tally(one.drawn).failed += 1;
    // A run that its engine's crash cut off does not reflect on scheduling.
    if (ok) this.noteOutcome(one, false);
    this.noteVain(one);
    this.report({ kind: "ended", id: one.id, ok, firstEventMs: 0, stream });
  }

  private lost(one: Try, hasBegun: boolean): void {
    if (hasBegun) return this.give(one, false);
    this.report({ kind: "ended", id: one.id, ok: false, firstEventMs: 0 });
    this.tally(one.drawn).failed += 1;
  }

  /** Another round, without the engine that failed it. */
  private again(one: Try, engine: string): void {
    this.report({ kind: "ended", id: one.id, ok: false, firstEventMs: 0 });
    if (one.rounds >= MAX_ROUNDS || this.isOver(one)) {
      this.tally(one.drawn).failed += 1;
      this.noteOutcome(one, false);
      return this.noteVain(one);
    }
    this.ask({ ...one, avoid: [...one.avoid, engine] });
  }

  private report(event: PlacementEvent): void {
    this.clock.after(this.load.hopMs, () => {
      this.fleet.scheduler.onEvent(event, this.clock.now);
    });
  }

  private deadlineAt({ begunAt, drawn }: Try): number {
    return begunAt + drawn.kind.deadlineMs;
  }

  private isOver(one: Try): boolean {
    return this.clock.now >= this.deadlineAt(one);
  }

  private isTooSilent({ arrivedAt, drawn }: Try): boolean {
    return this.clock.now >= arrivedAt + silenceMs(drawn.kind);
  }

  private noteVain(one: Try): void {
    const heldMs = this.clock.now - one.arrivedAt;
    if (heldMs > one.drawn.kind.deadlineMs / 2) {
      this.tally(one.drawn).inVain += 1;
    }
  }

  private noteOutcome({ drawn }: Try, isServed: boolean): void {
    const { kind, promptTokens, events } = drawn;
    const size = promptTokens + OUTPUT_WEIGHT * events * kind.tokensPerEvent;
    this.tally(drawn).outcomes.push({ size, isServed });
  }

  private tally({ kind }: DrawnRequest): Tally {
    return this.tallies.get(kind.name) ?? newTally();
  }
}

/** How long callers wait for a first event, ms. */
const silenceMs = ({ objectiveMs, gapMs }: DrawnRequest["kind"]): number =>
  Math.max(LEAST_SILENCE_MS, 4 * objectiveMs, 8 * gapMs);
