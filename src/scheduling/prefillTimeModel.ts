/**
 * How long the engines of one service take to read a prompt, learnt from the
 * reads that ended: a fixed part, a part for each token, and a part for each
 * pair of tokens in attention. Pure; times are ms.
 *
 * Nothing is assumed of an engine. Before the first read the objectives of
 * the routes give the order of magnitude; while reads are few, one factor is
 * learnt; then all three parts, by least squares that keeps them positive.
 */
import { fcnnlsVector } from "ml-fcnnls";
import { median } from "simple-statistics";

/** What there is to read of one prompt, or of a few. */
export interface PrefillWork {
  prompts: number;
  /** Tokens that no cache holds. */
  tokens: number;
  /** Pairs of one of these with any token before it, millions. */
  mPairs: number;
}

/** Time that reading takes, by part, ms. */
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
 * Part of an objective that reading a prompt is guessed to take while nothing
 * was read. An objective leaves room for a wait and the first event, so a
 * half would be the slowest that makes sense.
 */
const GUESSED_SHARE = 0.25;
/** Reads that are kept; older ones are forgotten. */
const MAX_SAMPLES = 160;
/** Reads from which all parts are learnt. */
const MIN_SAMPLES = 12;
/** What another process told weighs as much as so many own reads. */
const RESTORED_WEIGHT = 5;
/** The parts are learnt again after so many reads, … */
const REFIT_INTERVAL = 8;
/**
 * … and after this part of those that are kept: each eighth of many reads
 * would cost a holder much of its processor time.
 */
const REFIT_SHARE = 0.25;
/** Reads that took less, or more, than usual by this are left out. */
const OUTLIER_RATIO = 2.5;
/** Fewer that are like each other say nothing of the parts. */
const MIN_INLIER_SHARE = 0.6;
/** Pull of each part to what is expected, over that of the reads. */
const PRIOR_WEIGHT = 0.05;
const MIN_COLUMN_NORM = 1e-9;
const UNKNOWN_COST: PrefillCost = { fixedMs: 0, tokenMs: 1, mPairMs: 0 };
/** Expected times below this are weighed as this, ms: hops blur them. */
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
  /** What reads are expected to take before enough of them were seen. */
  private prior: PrefillCost | undefined;
  private learned: PrefillCost | undefined;
  /** How many reads the basis counts as: none where it is a guess. */
  private priorWeight = 0;
  private sinceFit = 0;

  /** What is known; undefined while it is only guessed. */
  get learnedCost(): PrefillCost | undefined {
    return this.learned;
  }

  /** Whether enough reads were seen to judge one engine by the others. */
  get isCalibrated(): boolean {
    return this.samples.length >= MIN_SAMPLES;
  }

  /** A request shows what its route is meant to hold at the most. */
  estimateFromObjective(objectiveMs: number, promptTokens: number): void {
    if (this.learned !== undefined || this.samples.length > 0) return;
    if (objectiveMs <= 0 || promptTokens <= 0) return;
    const tokenMs = (objectiveMs * GUESSED_SHARE) / promptTokens;
    if (this.prior !== undefined && this.prior.tokenMs <= tokenMs) return;
    this.prior = { fixedMs: 0, tokenMs, mPairMs: 0 };
  }

  /** What the process that places has learnt goes before own reads. */
  restoreCost(cost: PrefillCost): void {
    if (!isUsable(cost)) return;
    this.prior = cost;
    this.priorWeight = RESTORED_WEIGHT;
    this.learned = cost;
    this.samples = [];
  }

  /** Expected time of the work, ms. */
  estimateMs(work: PrefillWork): number {
    const cost = this.learned ?? this.prior;
    return cost === undefined ? 0 : timeMs(cost, work);
  }

  /** Work that kept one engine busy took so long. */
  observe(work: PrefillWork, tookMs: number): void {
    if (!(tookMs > 0) || work.tokens <= 0) return;
    this.samples.push({ work, tookMs });
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
    this.sinceFit += 1;
    const kept = this.samples.length;
    const isEarly = kept < MIN_SAMPLES + REFIT_INTERVAL;
    const pause = Math.max(REFIT_INTERVAL, kept * REFIT_SHARE);
    if (!isEarly && this.sinceFit < pause) return;
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
    const isClear = inliers.length >= samples.length * MIN_INLIER_SHARE;
    const isEnough = !hasFewSamples && isClear;
    this.learned =
      (isEnough ? fitCost(inliers, rescaled) : undefined) ?? rescaled;
  }
}

const isInlier = ({ work, tookMs }: Sample, expected: PrefillCost): boolean => {
  const ratio = tookMs / timeMs(expected, work);
  return ratio < OUTLIER_RATIO && ratio > 1 / OUTLIER_RATIO;
};

/** What each part of the time takes of the work. */
const termsOf = ({ prompts, tokens, mPairs }: PrefillWork): number[] => [
  prompts,
  tokens,
  mPairs,
];

/**
 * The parts that fit the reads best, by relative error. Reads that are all
 * alike don't tell the parts from each other: a weak pull to what is expected
 * keeps them apart. Undefined where the numbers don't settle.
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
  for (const [at, goal] of priorTerms.entries()) {
    const size = Math.hypot(...rows.map((row) => row[at] ?? 0));
    const pull = Math.max(size, MIN_COLUMN_NORM) * PRIOR_WEIGHT;
    rows.push(priorTerms.map((_, other) => (other === at ? pull : 0)));
    times.push(goal * pull);
  }
  try {
    const { K } = fcnnlsVector(rows, times);
    const [fixedMs = 0, tokenMs = 0, mPairMs = 0] = K.to1DArray();
    const cost = { fixedMs, tokenMs, mPairMs };
    return isUsable(cost) ? cost : undefined;
  } catch {
    // It ends by an error where it has not settled after its steps.
    return undefined;
  }
};
