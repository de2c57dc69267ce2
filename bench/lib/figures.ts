/** Statistics of bench results. */
import { build } from "hdr-histogram-js";

const MAX_TRACKABLE_US = 3_600_000_000;

/**
 * p50, p95 and p99 of values in ms. Values are rounded to whole microseconds and
 * kept to three significant digits.
 */
export const percentiles = (values: number[]): [number, number, number] => {
  const histogram = build({
    highestTrackableValue: MAX_TRACKABLE_US,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of values) {
    histogram.recordValue(Math.max(1, Math.round(value * 1000)));
  }
  const valueAt = (percent: number) =>
    histogram.getValueAtPercentile(percent) / 1000;
  return [valueAt(50), valueAt(95), valueAt(99)];
};

/** Jain's fairness index: 1 if all shares are equal, 1/n if one has all. */
export const fairness = (shares: number[]): number => {
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share * share, 0);
  return squares === 0 ? 1 : (sum * sum) / (shares.length * squares);
};

/** Formats the mean over several seeds with the minimum and maximum. */
export const formatMeanAndRange = (values: number[]): string => {
  const sum = values.reduce((total, value) => total + value, 0);
  const mean = (sum / values.length).toFixed(3);
  if (values.length === 1) return mean;
  const min = Math.min(...values).toFixed(3);
  const max = Math.max(...values).toFixed(3);
  return `${mean} (${min}-${max})`;
};
