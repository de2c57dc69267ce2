/**
 * Tracks the requests placed on engines: the capacity they use, and the
 * statistics learned from reports on them. Pure; times are ms.
 */
import { LRUCache } from "lru-cache";

import { DecayingSum } from "../shared/decayingSum.js";
import { RunningMean } from "../shared/runningMean.js";
import { AnswerLengths } from "./answerLengths.js";
import { MAX_BACK_OFF_MS } from "./backOff.js";
import type { AnswerLength } from "./engineRuns.js";
import type { EngineState } from "./engineState.js";
import { HandleFailures } from "./handleFailures.js";
import type { KeyedPart } from "./promptCache.js";
import { RunTimeEstimator } from "./runTimeEstimator.js";
import type {
  PlacementRequest,
  PlacementEvent,
  StreamResult,
} from "./types.js";

/** Weight of a new value in the running mean of first-event times. */
const FIRST_EVENT_GAIN = 0.05;
/** Time constant of the rate of runs that end, ms. */
const RATE_TIME_CONSTANT_MS = 1000;

/** Share of the remaining time that an answer is planned to take at most. */
const DEADLINE_SHARE = 0.95;
/** Streams with fewer events are too noisy to measure the time per token. */
const MIN_MEASURED_EVENTS = 10;
const MAX_ROUTES = 256;
const DEFAULT_LENGTHS = new AnswerLengths();

/** The engines that a request uses. */
export interface Assignment {
  /**
   * Undefined if the runner prefills the prompt, or it is already prefilled.
   */
  reader: EngineState | undefined;
  runner: EngineState;
  parts: readonly KeyedPart[];
  /** Expected end of the prefill by another engine. */
  prefillEndsAt?: number;
  /** Whether another scheduler granted it. */
  isAdopted?: boolean;
}

interface PlacedRequest extends Assignment {
  /** Time of the grant, or of the end of the prefill by another engine. */
  runFrom: number;
  request: PlacementRequest;
  /** Time after which no report on the request is expected, ms. */
  expiresAt: number;
}

/** Reports on one request. */
type RequestEvent = Extract<
  PlacementEvent,
  { kind: "read" | "begun" | "rejected" | "ended" }
>;

type EndedEvent = Extract<PlacementEvent, { kind: "ended" }>;

export class PlacedRequests {
  private readonly placed = new Map<string, PlacedRequest>();
  private readonly firstEvent = new RunningMean(FIRST_EVENT_GAIN);
  private readonly runEnds = new DecayingSum(RATE_TIME_CONSTANT_MS);
  private readonly handleFailures = new HandleFailures();
  readonly runTimes = new RunTimeEstimator();
  /** Answer lengths by route. */
  private readonly lengths = new LRUCache<string, AnswerLengths>({
    max: MAX_ROUTES,
  });

  /**
   * `onIncomplete` is called for each answer that ended before its caller had
   * received all of it, unless the engine failed.
   */
  constructor(
    private readonly onIncomplete: (request: PlacementRequest) => void,
  ) {}

  /** Mean time from the send to a runner to the first event, ms. */
  get firstEventMs(): number {
    return this.firstEvent.value;
  }

  /** Rate at which runs end, per ms. */
  endRate(now: number): number {
    return this.runEnds.rate(now);
  }

  has(id: string): boolean {
    return this.placed.has(id);
  }

  /** Adds a request, which uses capacity of its runner from now on. */
  add(request: PlacementRequest, at: Assignment, now: number): void {
    const { id, promptTokens, outputTokens, answerLeftMs } = request;
    const tokens = promptTokens + outputTokens;
    const deadlineAt = now + answerLeftMs;
    const length = this.lengthOf(request);
    const runMs = this.runTimes.slotMs(outputTokens, now);
    const isLong = runMs === Infinity;
    const startsAt = isLong ? undefined : at.prefillEndsAt;
    const run = { tokens, deadlineAt, length };
    const times = { startsAt, runMs, isAssumed: at.isAdopted };
    at.runner.runs.add(id, run, now, times);
    const expiresAt = deadlineAt + MAX_BACK_OFF_MS;
    this.placed.set(id, { ...at, runFrom: now, request, expiresAt });
  }

  /** Estimated answer length of a request, from the history of its route. */
  lengthOf(request: PlacementRequest): AnswerLength {
    const { outputTokens, mostOutputTokens, answerLeftMs, route } = request;
    const { steepness } = this.lengths.get(route) ?? DEFAULT_LENGTHS;
    return {
      estimatedTokens: outputTokens,
      maxTokens: mostOutputTokens,
      steepness,
      leftMs: answerLeftMs * DEADLINE_SHARE,
    };
  }

  /**
   * Applies a report. `mayMeasure`: durations update the time estimates, since
   * no other scheduler places on these engines.
   */
  onEvent(event: RequestEvent, mayMeasure: boolean, now: number): void {
    const placed = this.placed.get(event.id);
    if (placed === undefined) return;
    const { reader, runner, parts } = placed;
    switch (event.kind) {
      case "read":
        reader?.endPrefill(event.id, event.ok && mayMeasure, now);
        if (event.ok) {
          placed.runFrom = now;
          runner.runs.slotUse.start(event.id, now);
        }
        if (event.ok) reader?.markCached(parts);
        else reader?.dropPending(parts);
        reader?.recordOutcome(event.ok, now);
        return;
      case "begun":
        runner.endPrefill(event.id, false, now);
        runner.markCached(parts);
        runner.recordOutcome(true, now);
        return;
      case "rejected":
        return this.release(event.id, placed, now);
      case "ended":
        this.end(event, placed, mayMeasure, now);
        return;
    }
  }

  /** Drops requests whose end was never reported. */
  expire(now: number): void {
    for (const [id, { expiresAt }] of this.placed) {
      if (now > expiresAt) this.placed.delete(id);
    }
  }

  /**
   * Removes a request that an engine rejected. Nothing was prefilled or run, so
   * this says nothing about the engine's health or speed.
   */
  private release(id: string, placed: PlacedRequest, now: number): void {
    const { reader, runner, parts } = placed;
    this.placed.delete(id);
    reader?.endPrefill(id, false, now);
    reader?.dropPending(parts);
    runner.endPrefill(id, false, now);
    runner.dropPending(parts);
    runner.runs.end(id, now);
  }

  private end(
    event: EndedEvent,
    placed: PlacedRequest,
    mayMeasure: boolean,
    now: number,
  ): void {
    const { id, ok, firstEventMs, stream } = event;
    const { reader, runner, parts } = placed;
    this.placed.delete(id);
    if (stream !== undefined) {
      this.recordStream(id, placed, stream, mayMeasure, now);
      if (ok && stream.isCut) this.onIncomplete(placed.request);
    }
    reader?.endPrefill(id, false, now);
    runner.endPrefill(id, false, now);
    runner.runs.end(id, now);
    this.runEnds.add(1, now);
    if (firstEventMs > 0) this.recordRunTime(placed, now);
    if (firstEventMs > 0 && reader !== undefined) {
      this.firstEvent.add(firstEventMs);
    }
    if (ok) runner.markCached(parts);
    this.recordEngineOutcome(event, placed, now);
  }

  private recordEngineOutcome(
    { ok, firstEventMs, isHandleRefused }: EndedEvent,
    { reader, runner }: PlacedRequest,
    now: number,
  ): void {
    const [readerId, runnerId] = [reader?.view.id, runner.view.id];
    if (isHandleRefused === true && reader !== undefined) {
      const fault = this.handleFailures.recordRefusal(
        reader.view.id,
        runnerId,
        now,
      );
      if (fault === "reader") return reader.recordHandleOutcome(false, now);
    } else if (!ok && reader === undefined) {
      this.handleFailures.recordOwnFailure(runnerId, now);
    } else if (firstEventMs > 0) {
      this.handleFailures.recordSuccess(readerId, runnerId);
      reader?.recordHandleOutcome(true, now);
    }
    runner.recordOutcome(ok, now);
  }

  private recordStream(
    id: string,
    { request, runner }: PlacedRequest,
    { events, tookMs }: StreamResult,
    mayMeasure: boolean,
    now: number,
  ): void {
    const { route, outputTokens } = request;
    const lengths = this.lengths.get(route) ?? new AnswerLengths();
    this.lengths.set(route, lengths);
    lengths.observe(outputTokens, events);
    const { tokensPerEvent } = lengths;
    if (tokensPerEvent === undefined || !mayMeasure) return;
    if (events < MIN_MEASURED_EVENTS) return;
    const tokens = (events - 1) * tokensPerEvent;
    runner.runs.recordTokenMs(id, tookMs / tokens, now);
  }

  private recordRunTime(placed: PlacedRequest, now: number): void {
    const { runFrom, request } = placed;
    this.runTimes.observe(request.outputTokens, now - runFrom, now);
  }
}
