/** How long runs of one service take by their tokens. Pure; times are ms. */
import { DecayingSum } from "../shared/decayingSum.js";

/** Time constant of the pace, ms: longer than the longest runs. */
const MEMORY_MS = 20_000;

export class RunPace {
  /** Time that ended runs took from grant to end, and their tokens. */
  private readonly runMs = new DecayingSum(MEMORY_MS);
  private readonly tokens = new DecayingSum(MEMORY_MS);

  observe(outputTokens: number, tookMs: number, now: number): void {
    this.runMs.add(tookMs, now);
    this.tokens.add(outputTokens, now);
  }

  /** Expected time of a run, ms; 0 while none has ended. */
  expectMs(outputTokens: number, now: number): number {
    const tokens = this.tokens.rate(now);
    if (tokens <= 0) return 0;
    return outputTokens * (this.runMs.rate(now) / tokens);
  }
}
