/**
 * What reading and runs have asked of the engines of one service lately, for
 * the planner of stages. Pure; times are ms.
 */
import type { EngineState } from "./engineState.js";
import { NO_LOAD } from "./schedulerLoad.js";
import type { SchedulerLoad } from "./schedulerLoad.js";

/** Time constant of the smoothed demand, ms. */
const SMOOTHING_MS = 1200;
/**
 * How long a peak is remembered: halves in this time, ms. Engines have to
 * stand ready for a burst of either kind before it comes back; what was needed
 * a minute ago is likely to be. Forgotten sooner, swings of some seconds are
 * followed, and engines are on their way when the burst that they are meant for
 * comes.
 */
const PEAK_HALF_MS = 60_000;

/** A rate that follows what is asked for, and its fading peak. */
class Demand {
  private mean = 0;
  peak = 0;

  measure(rate: number, spanMs: number): void {
    this.mean += (rate - this.mean) * (1 - Math.exp(-spanMs / SMOOTHING_MS));
    this.hold(this.mean, spanMs);
  }

  /** Lifts the peak to a value that was seen. */
  hold(value: number, spanMs: number): void {
    const fade = 0.5 ** (spanMs / PEAK_HALF_MS);
    this.peak = Math.max(value, this.peak * fade);
  }
}

export class StageDemand {
  private lastAt: number | undefined;
  private last: SchedulerLoad = NO_LOAD;
  private readonly reading = new Demand();
  private readonly rests = new Demand();
  private readonly runs = new Demand();
  private readonly runTokens = new Demand();

  /** Takes in what was asked for since the last call, and what runs now. */
  measure(
    asked: SchedulerLoad,
    engines: readonly EngineState[],
    now: number,
  ): void {
    const spanMs = now - (this.lastAt ?? now);
    const { last } = this;
    this.last = { ...asked };
    this.lastAt = now;
    if (spanMs <= 0) return;
    this.reading.measure((asked.readMs - last.readMs) / spanMs, spanMs);
    this.rests.measure((asked.restMs - last.restMs) / spanMs, spanMs);
    this.runs.measure((asked.runMs - last.runMs) / spanMs, spanMs);
    const tokens = (asked.runTokenMs - last.runTokenMs) / spanMs;
    this.runTokens.measure(tokens, spanMs);
    const { runCount, runTokens } = totalOf(engines);
    this.runs.hold(runCount, 0);
    this.runTokens.hold(runTokens, 0);
  }

  /** Reading asked for, in engines that do nothing else. */
  get read(): number {
    return this.reading.peak;
  }

  /** Reading by engines that make tokens, in such engines. */
  get rest(): number {
    return this.rests.peak;
  }

  /** Most runs at once, seen or to be expected. */
  get peakRuns(): number {
    return this.runs.peak;
  }

  /** Most tokens of runs at once, seen or to be expected. */
  get peakRunTokens(): number {
    return this.runTokens.peak;
  }
}

const totalOf = (engines: readonly EngineState[]) => ({
  runCount: engines.reduce((sum, item) => sum + item.runCount, 0),
  runTokens: engines.reduce((sum, item) => sum + item.runTokens, 0),
});
