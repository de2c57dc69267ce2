import { quantile } from "simple-statistics";

/** Size of a request and whether its caller received the complete answer. */
export interface SizedOutcome {
  /** Prompt tokens plus weighted output tokens. */
  size: number;
  isServed: boolean;
}

/** What became of the requests of one kind. */
export interface Tally {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
  /** Placed and not served: engines were lost, or the time was over. */
  failed: number;
  /** Ended with nothing after more than half of their deadline. */
  inVain: number;
  /** Times to the first event of those that were served, ms. */
  firstMs: number[];
  /** Excludes requests whose run an engine crash cut off. */
  outcomes: SizedOutcome[];
}

export const newTally = (): Tally => ({
  asked: 0,
  inTime: 0,
  late: 0,
  refused: 0,
  failed: 0,
  inVain: 0,
  firstMs: [],
  outcomes: [],
});

/** The sum of several plays' tallies. */
export const addTallies = (tallies: readonly Tally[]): Tally => {
  const sum = newTally();
  for (const tally of tallies) {
    sum.asked += tally.asked;
    sum.inTime += tally.inTime;
    sum.late += tally.late;
    sum.refused += tally.refused;
    sum.failed += tally.failed;
    sum.inVain += tally.inVain;
    sum.firstMs.push(...tally.firstMs);
    sum.outcomes.push(...tally.outcomes);
  }
  return sum;
};

/** Size quantiles at which large and largest requests of a kind begin. */
const LARGE_FROM = 0.7;
const LARGEST_FROM = 0.9;

/** Fraction of requests served, by size; NaN for an empty group. */
export interface ServedBySize {
  all: number;
  /** Sizes from the 70th up to the 90th percentile. */
  large: number;
  /** Sizes from the 90th percentile up. */
  largest: number;
}

const servedFraction = (outcomes: readonly SizedOutcome[]): number =>
  outcomes.filter(({ isServed }) => isServed).length / outcomes.length;

/** Compares how often large requests of a kind are served with all of them. */
export const servedBySize = ({ outcomes }: Tally): ServedBySize => {
  if (outcomes.length === 0) return { all: NaN, large: NaN, largest: NaN };
  const [large, largest] = [LARGE_FROM, LARGEST_FROM].map((fraction) =>
    quantile(
      outcomes.map(({ size }) => size),
      fraction,
    ),
  ) as [number, number];
  return {
    all: servedFraction(outcomes),
    large: servedFraction(
      outcomes.filter(({ size }) => size >= large && size < largest),
    ),
    largest: servedFraction(outcomes.filter(({ size }) => size >= largest)),
  };
};
