/**
 * The requests that are at engines: what they take there, and what is learnt
 * from the reports on them. Pure; times are ms.
 */
import { LRUCache } from "lru-cache";

import { DecayingSum } from "../shared/decayingSum.js";
import { RunningMean } from "../shared/runningMean.js";
import { AnswerLengths } from "./answerLengths.js";
import { LONGEST_CLOSE_MS } from "./engineState.js";
import type { AnswerLength } from "./engineRuns.js";
import type { EngineState } from "./engineState.js";
import type { KeyedPart } from "./promptCache.js";
import { RunPace } from "./runPace.js";
import type { PlacementAsk, PlacementEvent, StreamResult } from "./types.js";

const FIRST_EVENT_GAIN = 0.05;
/** Time constant of the rate of runs that end, ms. */
const RATE_MEMORY_MS = 1000;

/** Share of the remaining time that an answer is planned to take at most. */
const DEADLINE_SHARE = 0.95;
/** Shorter streams are too noisy to measure the pace. */
const LEAST_MEASURED_EVENTS = 10;
const MAX_ROUTES = 256;
const DEFAULT_LENGTHS = new AnswerLengths();

/** Where a request is. */
export interface PlacedAt {
  /** Absent where the runner reads the prompt, or it was read before. */
  reader: EngineState | undefined;
  runner: EngineState;
  parts: readonly KeyedPart[];
}

interface Placed extends PlacedAt {
  grantedAt: number;
  ask: PlacementAsk;
  /** Instant after which its end will not be reported any more, ms. */
  lostAt: number;
}

/** Reports on one request. */
type RequestEvent = Extract<
  PlacementEvent,
  { kind: "read" | "begun" | "rejected" | "ended" }
>;

type EndedEvent = Extract<PlacementEvent, { kind: "ended" }>;

export class PlacedRequests {
  private readonly placed = new Map<string, Placed>();
  private readonly firstEvent = new RunningMean(FIRST_EVENT_GAIN);
  private readonly runEnds = new DecayingSum(RATE_MEMORY_MS);
  readonly runPace = new RunPace();
  /** By route. */
  private readonly lengths = new LRUCache<string, AnswerLengths>({
    max: MAX_ROUTES,
  });

  /**
   * `onUnserved` is called for each answer that ended before its caller had
   * received all of it, unless the engine failed.
   */
  constructor(private readonly onUnserved: (ask: PlacementAsk) => void) {}

  /** From the send to a runner to the first event, ms. */
  get firstEventMs(): number {
    return this.firstEvent.value;
  }

  /** Runs that end in a ms. */
  endRate(now: number): number {
    return this.runEnds.rate(now);
  }

  has(id: string): boolean {
    return this.placed.has(id);
  }

  /** It takes room at the runner from now on. */
  add(ask: PlacementAsk, at: PlacedAt, now: number): void {
    const { id, promptTokens, outputTokens, answerLeftMs } = ask;
    const tokens = promptTokens + outputTokens;
    const deadlineAt = now + answerLeftMs;
    const length = this.lengthOf(ask);
    at.runner.runs.add(id, { tokens, deadlineAt, length }, now);
    const lostAt = deadlineAt + LONGEST_CLOSE_MS;
    this.placed.set(id, { ...at, grantedAt: now, ask, lostAt });
  }

  lengthOf(ask: PlacementAsk): AnswerLength {
    const { outputTokens, mostOutputTokens, answerLeftMs, route } = ask;
    const { steepness } = this.lengths.get(route) ?? DEFAULT_LENGTHS;
    return {
      guessedTokens: outputTokens,
      mostTokens: mostOutputTokens,
      steepness,
      leftMs: answerLeftMs * DEADLINE_SHARE,
    };
  }

  /**
   * `isMeasure`: the times of reads count, since nobody else places on these
   * engines.
   */
  onEvent(event: RequestEvent, isMeasure: boolean, now: number): void {
    const placed = this.placed.get(event.id);
    if (placed === undefined) return;
    const { reader, runner, parts } = placed;
    switch (event.kind) {
      case "read":
        reader?.endRead(event.id, event.ok && isMeasure, now);
        if (event.ok) reader?.remember(parts);
        else reader?.forget(parts);
        reader?.judge(event.ok, now);
        return;
      case "begun":
        runner.endRead(event.id, false, now);
        runner.remember(parts);
        runner.judge(true, now);
        return;
      case "rejected":
        return this.giveBack(event.id, placed, now);
      case "ended":
        this.end(event, placed, isMeasure, now);
        return;
    }
  }

  /** Drops what was never reported on. */
  expire(now: number): void {
    for (const [id, { lostAt }] of this.placed) {
      if (now > lostAt) this.placed.delete(id);
    }
  }

  /**
   * An engine wanted no work: nothing was read or run there, and that says
   * nothing of its health or pace.
   */
  private giveBack(id: string, placed: Placed, now: number): void {
    const { reader, runner, parts } = placed;
    this.placed.delete(id);
    reader?.endRead(id, false, now);
    reader?.forget(parts);
    runner.endRead(id, false, now);
    runner.forget(parts);
    runner.runs.end(id, now);
  }

  private end(
    { id, ok, firstEventMs, stream }: EndedEvent,
    placed: Placed,
    isMeasure: boolean,
    now: number,
  ): void {
    const { reader, runner, parts } = placed;
    this.placed.delete(id);
    if (stream !== undefined) {
      this.observeStream(id, placed, stream, isMeasure, now);
      if (ok && stream.isCut) this.onUnserved(placed.ask);
    }
    reader?.endRead(id, false, now);
    runner.endRead(id, false, now);
    runner.runs.end(id, now);
    this.runEnds.add(1, now);
    if (firstEventMs > 0) this.measureRun(placed, now);
    if (firstEventMs > 0 && reader !== undefined) {
      this.firstEvent.add(firstEventMs);
    }
    if (ok) runner.remember(parts);
    runner.judge(ok, now);
  }

  private observeStream(
    id: string,
    { ask, runner }: Placed,
    { events, tookMs }: StreamResult,
    isMeasure: boolean,
    now: number,
  ): void {
    const { route, outputTokens } = ask;
    const lengths = this.lengths.get(route) ?? new AnswerLengths();
    this.lengths.set(route, lengths);
    lengths.observe(outputTokens, events);
    const { tokensPerEvent } = lengths;
    if (tokensPerEvent === undefined || !isMeasure) return;
    if (events < LEAST_MEASURED_EVENTS) return;
    const tokens = (events - 1) * tokensPerEvent;
    runner.runs.measure(id, tookMs / tokens, now);
  }

  private measureRun(placed: Placed, now: number): void {
    const { grantedAt, ask } = placed;
    this.runPace.observe(ask.outputTokens, now - grantedAt, now);
  }
}
