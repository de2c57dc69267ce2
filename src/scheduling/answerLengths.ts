/**
 * Distribution of answer lengths on one route, relative to the callers'
 * estimates. Pure.
 */
import { quantile } from "simple-statistics";

const MAX_ANSWERS = 120;
const MIN_ANSWERS = 12;
/** Number of answers between two fits. */
const REFIT_INTERVAL = 12;
/** Shorter answers are too noisy to estimate tokens per event. */
const MIN_EVENTS = 4;
/** Quantile of length over estimate that the steepness is fitted to. */
const UPPER_QUANTILE = 0.9;
/** Steepness before the first fit. */
const DEFAULT_STEEPNESS = 4;
const MIN_STEEPNESS = 1.5;
const MAX_STEEPNESS = 20;

interface Answer {
  estimatedTokens: number;
  events: number;
}

export class AnswerLengths {
  private readonly answers: Answer[] = [];
  private sinceFit = 0;
  /** Undefined before the first fit. */
  tokensPerEvent: number | undefined;
  /**
   * Shape of a log-logistic distribution: an answer exceeds x times its
   * estimate with probability 1 / (1 + x ** steepness).
   */
  steepness = DEFAULT_STEEPNESS;

  observe(estimatedTokens: number, events: number): void {
    if (estimatedTokens <= 0 || events < MIN_EVENTS) return;
    this.answers.push({ estimatedTokens, events });
    if (this.answers.length > MAX_ANSWERS) this.answers.shift();
    this.sinceFit += 1;
    if (this.answers.length < MIN_ANSWERS) return;
    if (this.sinceFit < REFIT_INTERVAL) return;
    this.sinceFit = 0;
    const ratios = this.answers.map(
      (item) => item.estimatedTokens / item.events,
    );
    // Assumes that the median estimate is accurate.
    this.tokensPerEvent = quantile(ratios, 0.5);
    const lowestRatio = quantile(ratios, 1 - UPPER_QUANTILE);
    const odds = UPPER_QUANTILE / (1 - UPPER_QUANTILE);
    const steepness =
      Math.log(odds) / Math.log(this.tokensPerEvent / lowestRatio);
    this.steepness = Math.min(
      MAX_STEEPNESS,
      Math.max(MIN_STEEPNESS, steepness),
    );
  }
}
