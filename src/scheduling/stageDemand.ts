/**
 * Recent prefill and decode demand on the engines of one service, as input for
 * the stage planner. Pure; times are ms.
 */
import type { EngineState } from "./engineState.js";
import { NO_DEMAND } from "./demandTotals.js";
import type { DemandTotals } from "./demandTotals.js";

/** Time constant of the smoothed demand, ms. */
const SMOOTHING_MS = 1200;
/**
 * Half-life of a peak, ms. Engines have to be ready before a burst of either
 * kind returns, and what was needed a minute ago is likely to be needed again.
 * With a shorter half-life the planner follows swings of a few seconds, and
 * engines are still changing their stage when the burst arrives.
 */
const PEAK_HALF_LIFE_MS = 60_000;

/** Exponentially smoothed rate, and its decaying peak. */
class SmoothedPeak {
  private mean = 0;
  peak = 0;

  measure(rate: number, spanMs: number): void {
    this.mean += (rate - this.mean) * (1 - Math.exp(-spanMs / SMOOTHING_MS));
    this.raisePeak(this.mean, spanMs);
  }

  /** Decays the peak over `spanMs`, and raises it to an observed value. */
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

  /** Adds the demand since the last call, and the current runs. */
  measure(
    totals: DemandTotals,
    engines: readonly EngineState[],
    now: number,
  ): void {
    const spanMs = now - (this.lastAt ?? now);
    const { last } = this;
    this.last = { ...totals };
    this.lastAt = now;
    if (spanMs <= 0) return;
    this.prefill.measure((totals.prefillMs - last.prefillMs) / spanMs, spanMs);
    this.decodePrefill.measure(
      (totals.decodePrefillMs - last.decodePrefillMs) / spanMs,
      spanMs,
    );
    this.runs.measure((totals.runMs - last.runMs) / spanMs, spanMs);
    const tokens = (totals.runTokenMs - last.runTokenMs) / spanMs;
    this.runTokens.measure(tokens, spanMs);
    const { runCount, runTokens } = totalOf(engines, now);
    this.runs.raisePeak(runCount, 0);
    this.runTokens.raisePeak(runTokens, 0);
  }

  /** Peak prefill demand, in engines fully occupied by prefill. */
  get prefillEngines(): number {
    return this.prefill.peak;
  }

  /** Peak prefill demand on decode engines, in engines fully occupied by it. */
  get decodePrefillEngines(): number {
    return this.decodePrefill.peak;
  }

  /** Peak number of concurrent runs, observed or estimated. */
  get peakRuns(): number {
    return this.runs.peak;
  }

  /** Peak number of tokens of concurrent runs, observed or estimated. */
  get peakRunTokens(): number {
    return this.runTokens.peak;
  }
}

/** Runs that still wait for their prefill need no slot yet. */
const totalOf = (engines: readonly EngineState[], now: number) => ({
  runCount: engines.reduce(
    (sum, item) => sum + item.runs.slotUse.current(now),
    0,
  ),
  runTokens: engines.reduce((sum, item) => sum + item.runTokens, 0),
});
