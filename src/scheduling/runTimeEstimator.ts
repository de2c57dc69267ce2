/** How long runs of one service take by their tokens. Pure; times are ms. */
import { FadingSum } from "../shared/fadingSum.js";

/** Time constant of the pace, ms: longer than the longest runs. */
const TIME_CONSTANT_MS = 20_000;

export class RunTimeEstimator {
  /** Time that ended runs took from grant to end, and their tokens. */
  private readonly runMs = new FadingSum(TIME_CONSTANT_MS);
  private readonly tokens = new FadingSum(TIME_CONSTANT_MS);

  observe(outputTokens: number, tookMs: number, now: number): void {
    this.runMs.add(tookMs, now);
    this.tokens.add(outputTokens, now);
  }

  /** Expected time of a run, ms; 0 while none has ended. */
  estimateMs(outputTokens: number, now: number): number {
    const tokens = this.tokens.rate(now);
    if (tokens <= 0) return 0;
    return outputTokens * (this.runMs.rate(now) / tokens);
  }
}
