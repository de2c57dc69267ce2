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
export interface ReadWork {
  prompts: number;
  /** Tokens that no cache holds. */
  tokens: number;
  /** Pairs of one of these with any token before it, millions. */
  mPairs: number;
}

/** Time that reading takes, by part, ms. */
export interface ReadCost {
  fixedMs: number;
  tokenMs: number;
  mPairMs: number;
}

interface Sample {
  work: ReadWork;
  tookMs: number;
}

/**
 * Part of an objective that reading a prompt is guessed to take while nothing
 * was read. An objective leaves room for a wait and the first event, so a
 * half would be the slowest that makes sense.
 */
const GUESSED_PART = 0.25;
/** Reads that are kept; older ones are forgotten. */
const KEPT_SAMPLES = 160;
/** Reads from which all parts are learnt. */
const LEAST_SAMPLES = 12;
/** What another process told weighs as much as so many own reads. */
const TOLD_READS = 5;
/** The parts are learnt again after so many reads, … */
const LEARN_EACH = 8;
/**
 * … and after this part of those that are kept: each eighth of many reads
 * would cost a holder much of its processor time.
 */
const LEARN_PART = 0.25;
/** Reads that took less, or more, than usual by this are left out. */
const OUTLIER_RATIO = 2.5;
/** Fewer that are like each other say nothing of the parts. */
const LEAST_LIKELY = 0.6;
/** Pull of each part to what is expected, over that of the reads. */
const PULL = 0.05;
const LEAST_PULL = 1e-9;
const UNKNOWN_COST: ReadCost = { fixedMs: 0, tokenMs: 1, mPairMs: 0 };
/** Expected times below this are weighed as this, ms: hops blur them. */
const LEAST_WEIGHED_MS = 5;

const PAIRS_PER_M = 1e6;

export const workOf = (promptTokens: number, cached: number): ReadWork => {
  const tokens = Math.max(0, promptTokens - cached);
  const mPairs = (tokens * (cached + tokens / 2)) / PAIRS_PER_M;
  return { prompts: 1, tokens, mPairs };
};

export const addWork = (left: ReadWork, right: ReadWork): ReadWork => ({
  prompts: left.prompts + right.prompts,
  tokens: left.tokens + right.tokens,
  mPairs: left.mPairs + right.mPairs,
});

const timeOf = (cost: ReadCost, work: ReadWork): number =>
  cost.fixedMs * work.prompts +
  cost.tokenMs * work.tokens +
  cost.mPairMs * work.mPairs;

const scaled = (cost: ReadCost, factor: number): ReadCost => ({
  fixedMs: cost.fixedMs * factor,
  tokenMs: cost.tokenMs * factor,
  mPairMs: cost.mPairMs * factor,
});

const isUsable = ({ fixedMs, tokenMs, mPairMs }: ReadCost): boolean =>
  [fixedMs, tokenMs, mPairMs].every((part) => part >= 0 && part < Infinity) &&
  tokenMs + mPairMs > 0;

export class ReadPace {
  private samples: Sample[] = [];
  /** What reads are expected to take before enough of them were seen. */
  private basis: ReadCost | undefined;
  private learnt: ReadCost | undefined;
  /** How many reads the basis counts as: none where it is a guess. */
  private basisReads = 0;
  private sinceLearnt = 0;

  /** What is known; undefined while it is only guessed. */
  get known(): ReadCost | undefined {
    return this.learnt;
  }

  /** Whether enough reads were seen to judge one engine by the others. */
  get isSure(): boolean {
    return this.samples.length >= LEAST_SAMPLES;
  }

  /** A request shows what its route is meant to hold at the most. */
  guess(objectiveMs: number, promptTokens: number): void {
    if (this.learnt !== undefined || this.samples.length > 0) return;
    if (objectiveMs <= 0 || promptTokens <= 0) return;
    const tokenMs = (objectiveMs * GUESSED_PART) / promptTokens;
    if (this.basis !== undefined && this.basis.tokenMs <= tokenMs) return;
    this.basis = { fixedMs: 0, tokenMs, mPairMs: 0 };
  }

  /** What the process that places has learnt goes before own reads. */
  restore(cost: ReadCost): void {
    if (!isUsable(cost)) return;
    this.basis = cost;
    this.basisReads = TOLD_READS;
    this.learnt = cost;
    this.samples = [];
  }

  /** Expected time of the work, ms. */
  expectMs(work: ReadWork): number {
    const cost = this.learnt ?? this.basis;
    return cost === undefined ? 0 : timeOf(cost, work);
  }

  /** Work that kept one engine busy took so long. */
  observe(work: ReadWork, tookMs: number): void {
    if (!(tookMs > 0) || work.tokens <= 0) return;
    this.samples.push({ work, tookMs });
    if (this.samples.length > KEPT_SAMPLES) this.samples.shift();
    this.sinceLearnt += 1;
    const kept = this.samples.length;
    const isEarly = kept < LEAST_SAMPLES + LEARN_EACH;
    const pause = Math.max(LEARN_EACH, kept * LEARN_PART);
    if (!isEarly && this.sinceLearnt < pause) return;
    this.sinceLearnt = 0;
    this.learn();
  }

  private learn(): void {
    const { samples } = this;
    const expected = this.learnt ?? this.basis ?? UNKNOWN_COST;
    const ratios = samples.map(({ work, tookMs }) => {
      return tookMs / timeOf(expected, work);
    });
    const isFew = samples.length < LEAST_SAMPLES;
    const told = new Array<number>(isFew ? this.basisReads : 0).fill(1);
    const middle = scaled(expected, median([...ratios, ...told]));
    const likely = samples.filter((sample) => isLikely(sample, middle));
    const isClear = likely.length >= samples.length * LEAST_LIKELY;
    const isEnough = !isFew && isClear;
    this.learnt = (isEnough ? fitted(likely, middle) : undefined) ?? middle;
  }
}

const isLikely = ({ work, tookMs }: Sample, expected: ReadCost): boolean => {
  const ratio = tookMs / timeOf(expected, work);
  return ratio < OUTLIER_RATIO && ratio > 1 / OUTLIER_RATIO;
};

/** What each part of the time takes of the work. */
const partsOf = ({ prompts, tokens, mPairs }: ReadWork): number[] => [
  prompts,
  tokens,
  mPairs,
];

/**
 * The parts that fit the reads best, by relative error. Reads that are all
 * alike don't tell the parts from each other: a weak pull to what is expected
 * keeps them apart. Undefined where the numbers don't settle.
 */
const fitted = (
  samples: readonly Sample[],
  expected: ReadCost,
): ReadCost | undefined => {
  const weights = samples.map(
    ({ work }) => 1 / Math.max(LEAST_WEIGHED_MS, timeOf(expected, work)),
  );
  const rows = samples.map(({ work }, at) =>
    partsOf(work).map((part) => part * (weights[at] ?? 0)),
  );
  const times = samples.map(({ tookMs }, at) => tookMs * (weights[at] ?? 0));
  const goals = [expected.fixedMs, expected.tokenMs, expected.mPairMs];
  for (const [at, goal] of goals.entries()) {
    const size = Math.hypot(...rows.map((row) => row[at] ?? 0));
    const pull = Math.max(size, LEAST_PULL) * PULL;
    rows.push(goals.map((_, other) => (other === at ? pull : 0)));
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
