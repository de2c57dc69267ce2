/**
 * The requests that are at engines: what they take there, and what is learnt
 * from the reports on them. Pure; times are ms.
 */
import { FadingSum } from "../shared/fadingSum.js";
import { RunningMean } from "../shared/runningMean.js";
import { LONGEST_CLOSE_MS } from "./engineState.js";
import type { EngineState } from "./engineState.js";
import type { KeyedPart } from "./promptCache.js";
import { RunPace } from "./runPace.js";
import { LONG_OUTPUT_TOKENS } from "./runPlanner.js";
import type { PlacementAsk, PlacementEvent } from "./types.js";

const FIRST_EVENT_GAIN = 0.05;
/** Time constant of the rate of runs that end, ms. */
const RATE_MEMORY_MS = 1000;

/** Where a request is. */
export interface PlacedAt {
  /** Absent where the runner reads the prompt, or it was read before. */
  reader: EngineState | undefined;
  runner: EngineState;
  parts: readonly KeyedPart[];
}

interface Placed extends PlacedAt {
  grantedAt: number;
  outputTokens: number;
  /** Instant after which its end will not be reported any more, ms. */
  lostAt: number;
}

/** Reports on one request. */
type RequestEvent = Extract<
  PlacementEvent,
  { kind: "read" | "begun" | "rejected" | "ended" }
>;

export class PlacedRequests {
  private readonly placed = new Map<string, Placed>();
  private readonly firstEvent = new RunningMean(FIRST_EVENT_GAIN);
  private readonly runEnds = new FadingSum(RATE_MEMORY_MS);
  readonly runPace = new RunPace();

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
    at.runner.addRun(id, tokens, deadlineAt, now);
    const lostAt = deadlineAt + LONGEST_CLOSE_MS;
    this.placed.set(id, { ...at, grantedAt: now, outputTokens, lostAt });
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
        this.end(event.id, placed, event, now);
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
    runner.endRun(id);
  }

  private end(
    id: string,
    placed: Placed,
    { ok, firstEventMs }: { ok: boolean; firstEventMs: number },
    now: number,
  ): void {
    const { reader, runner, parts } = placed;
    this.placed.delete(id);
    reader?.endRead(id, false, now);
    runner.endRead(id, false, now);
    runner.endRun(id);
    this.runEnds.add(1, now);
    if (firstEventMs > 0) this.measureRun(placed, now);
    if (firstEventMs > 0 && reader !== undefined) {
      this.firstEvent.add(firstEventMs);
    }
    if (ok) runner.remember(parts);
    runner.judge(ok, now);
  }

  private measureRun(placed: Placed, now: number): void {
    const { runner, grantedAt, outputTokens } = placed;
    const tookMs = now - grantedAt;
    const expectedMs = this.runPace.expectMs(outputTokens, now);
    if (outputTokens >= LONG_OUTPUT_TOKENS && expectedMs > 0) {
      runner.measureRun(tookMs / expectedMs);
    }
    this.runPace.observe(outputTokens, tookMs, now);
  }
}
