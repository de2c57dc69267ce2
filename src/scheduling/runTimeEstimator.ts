/**
 * Estimates the duration of a run from its output tokens. Pure; times are ms.
 */
import { DecayingSum } from "../shared/decayingSum.js";

/** Time constant of the average, ms; longer than the longest runs. */
const TIME_CONSTANT_MS = 20_000;
/** Runs with at least this many output tokens are long. */
export const LONG_OUTPUT_TOKENS = 512;

export class RunTimeEstimator {
  /**
   * Time from the end of the prefill, or from the grant if the runner prefills,
   * to the end of finished runs, ms.
   */
  private readonly runMs = new DecayingSum(TIME_CONSTANT_MS);
  /** Estimated output tokens of the same runs. */
  private readonly tokens = new DecayingSum(TIME_CONSTANT_MS);

  observe(outputTokens: number, tookMs: number, now: number): void {
    this.runMs.add(tookMs, now);
    this.tokens.add(outputTokens, now);
  }

  /** Expected duration of a run, ms; 0 until the first run has ended. */
  estimateMs(outputTokens: number, now: number): number {
    const tokens = this.tokens.rate(now);
    if (tokens <= 0) return 0;
    return outputTokens * (this.runMs.rate(now) / tokens);
  }

  /**
   * Time for which a run counts at its engine, ms. Long answers, and those of
   * unknown duration, count until their end is reported.
   */
  slotMs(outputTokens: number, now: number): number {
    if (outputTokens >= LONG_OUTPUT_TOKENS) return Infinity;
    const runMs = this.estimateMs(outputTokens, now);
    return runMs > 0 ? runMs : Infinity;
  }
}
