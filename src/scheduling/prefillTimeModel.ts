/**
 * Linear model of the prefill time on the engines of one service, fitted to
 * finished prefills. Its terms are a constant, the uncached tokens, and the
 * pairs of tokens in attention. Pure; times are ms.
 *
 * The model assumes nothing about the engines. Before the first prefill, the
 * latency objectives of the routes give the order of magnitude. With few
 * samples, a single scale factor is fitted; with more, all three coefficients
 * by non-negative least squares.
 */
import { fcnnlsVector } from "ml-fcnnls";
import { median } from "simple-statistics";

/** Prefill work for one or more prompts. */
export interface PrefillWork {
  prompts: number;
  /** Uncached tokens. */
  tokens: number;
  /** Pairs of an uncached token with any token before it, in millions. */
  mPairs: number;
}

/**
 * Coefficients of the model, ms per prompt, per token, and per million pairs.
 */
export interface PrefillCost {
  fixedMs: number;
  tokenMs: number;
  mPairMs: number;
}

interface Sample {
  work: PrefillWork;
  tookMs: number;
}

/**
 * Share of the latency objective that a prefill is assumed to take before the
 * first sample. Objectives leave room for a wait and the first event, so one
 * half would be the slowest plausible value.
 */
const GUESSED_SHARE = 0.25;
/** Number of most recent samples kept. */
const MAX_SAMPLES = 160;
/** Samples needed to fit all coefficients. */
const MIN_SAMPLES = 12;
/** Weight of a cost from another process, in samples. */
const RESTORED_WEIGHT = 5;
/** Minimum number of samples between two fits. */
const REFIT_INTERVAL = 8;
/**
 * Minimum interval between fits as a share of the samples kept. With many
 * samples, a fit every 8 would take much of the lease holder's CPU time.
 */
const REFIT_SHARE = 0.25;
/** Samples that differ from the expected time by this factor are excluded. */
const OUTLIER_RATIO = 2.5;
/** Below this share of inliers, the coefficients are not fitted. */
const MIN_INLIER_SHARE = 0.6;
/** Weight of the prior on each coefficient, relative to the samples. */
const PRIOR_WEIGHT = 0.05;
/** Keeps a coefficient determined when its term is zero in all samples. */
const MIN_COLUMN_NORM = 1e-9;
const UNKNOWN_COST: PrefillCost = { fixedMs: 0, tokenMs: 1, mPairMs: 0 };
/**
 * Lower bound of the expected time in sample weights, ms; network hops blur
 * shorter times.
 */
const MIN_WEIGHTED_MS = 5;

const PAIRS_PER_M = 1e6;

export const prefillWorkOf = (
  promptTokens: number,
  cached: number,
): PrefillWork => {
  const tokens = Math.max(0, promptTokens - cached);
  const mPairs = (tokens * (cached + tokens / 2)) / PAIRS_PER_M;
  return { prompts: 1, tokens, mPairs };
};

export const addWork = (
  left: PrefillWork,
  right: PrefillWork,
): PrefillWork => ({
  prompts: left.prompts + right.prompts,
  tokens: left.tokens + right.tokens,
  mPairs: left.mPairs + right.mPairs,
});

const timeMs = (cost: PrefillCost, work: PrefillWork): number =>
  cost.fixedMs * work.prompts +
  cost.tokenMs * work.tokens +
  cost.mPairMs * work.mPairs;

const scaled = (cost: PrefillCost, factor: number): PrefillCost => ({
  fixedMs: cost.fixedMs * factor,
  tokenMs: cost.tokenMs * factor,
  mPairMs: cost.mPairMs * factor,
});

const isUsable = ({ fixedMs, tokenMs, mPairMs }: PrefillCost): boolean =>
  [fixedMs, tokenMs, mPairMs].every((part) => part >= 0 && part < Infinity) &&
  tokenMs + mPairMs > 0;

export class PrefillTimeModel {
  private samples: Sample[] = [];
  /** Cost assumed until there are enough samples. */
  private prior: PrefillCost | undefined;
  private learned: PrefillCost | undefined;
  /** Weight of the prior, in samples; 0 if it is only a guess. */
  private priorWeight = 0;
  private sinceFit = 0;

  /** The fitted or restored cost; undefined while there is only a guess. */
  get learnedCost(): PrefillCost | undefined {
    return this.learned;
  }

  /** Whether there are enough samples to compare engines with each other. */
  get isCalibrated(): boolean {
    return this.samples.length >= MIN_SAMPLES;
  }

  /**
   * Derives an upper bound of the cost per token from a request's latency
   * objective; the lowest bound becomes the prior. Ignored once there
   * is a sample or a restored cost.
   */
  estimateFromObjective(objectiveMs: number, promptTokens: number): void {
    if (this.learned !== undefined || this.samples.length > 0) return;
    if (objectiveMs <= 0 || promptTokens <= 0) return;
    const tokenMs = (objectiveMs * GUESSED_SHARE) / promptTokens;
    if (this.prior !== undefined && this.prior.tokenMs <= tokenMs) return;
    this.prior = { fixedMs: 0, tokenMs, mPairMs: 0 };
  }

  /**
   * Adopts the cost learned by the lease holder, and discards local samples.
   */
  restoreCost(cost: PrefillCost): void {
    if (!isUsable(cost)) return;
    this.prior = cost;
    this.priorWeight = RESTORED_WEIGHT;
    this.learned = cost;
    this.samples = [];
  }

  /** Expected time of the work, ms; 0 without any estimate. */
  estimateMs(work: PrefillWork): number {
    const cost = this.learned ?? this.prior;
    return cost === undefined ? 0 : timeMs(cost, work);
  }

  /** Records how long work that kept one engine busy took, ms. */
  observe(work: PrefillWork, tookMs: number): void {
    if (!(tookMs > 0) || work.tokens <= 0) return;
    this.samples.push({ work, tookMs });
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
    this.sinceFit += 1;
    const kept = this.samples.length;
    const isEarly = kept < MIN_SAMPLES + REFIT_INTERVAL;
    const interval = Math.max(REFIT_INTERVAL, kept * REFIT_SHARE);
    if (!isEarly && this.sinceFit < interval) return;
    this.sinceFit = 0;
    this.refit();
  }

  private refit(): void {
    const { samples } = this;
    const expected = this.learned ?? this.prior ?? UNKNOWN_COST;
    const ratios = samples.map(({ work, tookMs }) => {
      return tookMs / timeMs(expected, work);
    });
    const hasFewSamples = samples.length < MIN_SAMPLES;
    const priorRatios = new Array<number>(
      hasFewSamples ? this.priorWeight : 0,
    ).fill(1);
    const rescaled = scaled(expected, median([...ratios, ...priorRatios]));
    const inliers = samples.filter((sample) => isInlier(sample, rescaled));
    const isConsistent = inliers.length >= samples.length * MIN_INLIER_SHARE;
    const mayFit = !hasFewSamples && isConsistent;
    this.learned =
      (mayFit ? fitCost(inliers, rescaled) : undefined) ?? rescaled;
  }
}

const isInlier = ({ work, tookMs }: Sample, expected: PrefillCost): boolean => {
  const ratio = tookMs / timeMs(expected, work);
  return ratio < OUTLIER_RATIO && ratio > 1 / OUTLIER_RATIO;
};

/** Terms of the model, in the order of `PrefillCost`. */
const termsOf = ({ prompts, tokens, mPairs }: PrefillWork): number[] => [
  prompts,
  tokens,
  mPairs,
];

/**
 * Non-negative least squares on the relative error; undefined if the solver
 * fails. Similar samples leave the coefficients undetermined, so a weak prior
 * pulls them toward the expected cost.
 */
const fitCost = (
  samples: readonly Sample[],
  expected: PrefillCost,
): PrefillCost | undefined => {
  const weights = samples.map(
    ({ work }) => 1 / Math.max(MIN_WEIGHTED_MS, timeMs(expected, work)),
  );
  const rows = samples.map(({ work }, at) =>
    termsOf(work).map((part) => part * (weights[at] ?? 0)),
  );
  const times = samples.map(({ tookMs }, at) => tookMs * (weights[at] ?? 0));
  const priorTerms = [expected.fixedMs, expected.tokenMs, expected.mPairMs];
  for (const [at, priorMs] of priorTerms.entries()) {
    const size = Math.hypot(...rows.map((row) => row[at] ?? 0));
    const weight = Math.max(size, MIN_COLUMN_NORM) * PRIOR_WEIGHT;
    rows.push(priorTerms.map((_, other) => (other === at ? weight : 0)));
    times.push(priorMs * weight);
  }
  try {
    const { K } = fcnnlsVector(rows, times);
    const [fixedMs = 0, tokenMs = 0, mPairMs = 0] = K.to1DArray();
    const cost = { fixedMs, tokenMs, mPairMs };
    return isUsable(cost) ? cost : undefined;
  } catch {
    // The solver throws if it does not converge within its iteration limit.
    return undefined;
  }
};
