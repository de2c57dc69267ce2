/**
 * What reading and runs have asked of the engines of one service lately, for
 * the planner of stages. Pure; times are ms.
 */
import type { EngineState } from "./engineState.js";
import { NO_DEMAND } from "./demandTotals.js";
import type { DemandTotals } from "./demandTotals.js";

/** Time constant of the smoothed demand, ms. */
const SMOOTHING_MS = 1200;
/**
 * How long a peak is remembered: halves in this time, ms. Engines have to
 * stand ready for a burst of either kind before it comes back; what was needed
 * a minute ago is likely to be. Forgotten sooner, swings of some seconds are
 * followed, and engines are on their way when the burst that they are meant for
 * comes.
 */
const PEAK_HALF_LIFE_MS = 60_000;

/** A rate that follows what is asked for, and its fading peak. */
class SmoothedPeak {
  private mean = 0;
  peak = 0;

  measure(rate: number, spanMs: number): void {
    this.mean += (rate - this.mean) * (1 - Math.exp(-spanMs / SMOOTHING_MS));
    this.raisePeak(this.mean, spanMs);
  }

  /** Lifts the peak to a value that was seen. */
  raisePeak(value: number, spanMs: number): void {
    const fade = 0.5 ** (spanMs / PEAK_HALF_LIFE_MS);
    this.peak = Math.max(value, this.peak * fade);
  }
}

export class StageDemand {
  private lastAt: number | undefined;
  private last: DemandTotals = NO_DEMAND;
  private readonly prefill = new SmoothedPeak();
  private readonly decodePrefill = new SmoothedPeak();
  private readonly runs = new SmoothedPeak();
  private readonly runTokens = new SmoothedPeak();

  /** Takes in what was asked for since the last call, and what runs now. */
  measure(
    asked: DemandTotals,
    engines: readonly EngineState[],
    now: number,
  ): void {
    const spanMs = now - (this.lastAt ?? now);
    const { last } = this;
    this.last = { ...asked };
    this.lastAt = now;
    if (spanMs <= 0) return;
    this.prefill.measure((asked.prefillMs - last.prefillMs) / spanMs, spanMs);
    this.decodePrefill.measure(
      (asked.decodePrefillMs - last.decodePrefillMs) / spanMs,
      spanMs,
    );
    this.runs.measure((asked.runMs - last.runMs) / spanMs, spanMs);
    const tokens = (asked.runTokenMs - last.runTokenMs) / spanMs;
    this.runTokens.measure(tokens, spanMs);
    const { runCount, runTokens } = totalOf(engines);
    this.runs.raisePeak(runCount, 0);
    this.runTokens.raisePeak(runTokens, 0);
  }

  /** Reading asked for, in engines that do nothing else. */
  get prefillEngines(): number {
    return this.prefill.peak;
  }

  /** Reading by engines that make tokens, in such engines. */
  get decodePrefillEngines(): number {
    return this.decodePrefill.peak;
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
