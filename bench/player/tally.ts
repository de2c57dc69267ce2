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
}

export const newTally = (): Tally => ({
  asked: 0,
  inTime: 0,
  late: 0,
  refused: 0,
  failed: 0,
  inVain: 0,
  firstMs: [],
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
  }
  return sum;
};
