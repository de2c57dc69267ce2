/**
 * The bound on further sends is one sum over all entries, as a limit of a
 * replica is. Kept by each entry for itself, earnings of an earlier time and
 * the stocks of many entries could be spent in one window.
 */
import { expect } from "chai";

import { RetryBudgets } from "../../src/gateway/retryBudgets.js";

const LIMITS = { ratio: 0.2, burst: 56, windowMs: 10_000 };
/** Further sends that one failing request wants. */
const WANTED = 3;
const SECOND_MS = 1000;
const PLAY_S = 60;

/** Requests and further sends of all entries, by second. */
const play = (
  entries: number,
  requestsAt: (second: number) => number,
  known: number | undefined = entries,
) => {
  let now = 0;
  const all = Array.from(
    { length: entries },
    () =>
      new RetryBudgets(
        LIMITS,
        () => known,
        () => now,
      ),
  );
  const rows: { requests: number; further: number }[] = [];
  for (let second = 0; second < PLAY_S; second += 1) {
    const requests = requestsAt(second);
    let further = 0;
    for (let at = 0; at < requests; at += 1) {
      now = second * SECOND_MS + (at * SECOND_MS) / requests;
      const budgets = all[at % entries];
      budgets?.recordRequest("s");
      // Nothing fails at first, so that all that is kept is there.
      const wanted = second < PLAY_S / 2 ? 0 : WANTED;
      for (let send = 0; send < wanted; send += 1) {
        if (budgets?.tryRetry("s") === true) further += 1;
      }
    }
    rows.push({ requests, further });
  }
  return rows;
};

/** The most that any window holds beyond what the bound allows. */
const excess = (rows: ReturnType<typeof play>): number => {
  const seconds = LIMITS.windowMs / SECOND_MS;
  const sum = (from: number, of: "requests" | "further") =>
    rows
      .slice(Math.max(0, from), Math.max(0, from + seconds))
      .reduce((total, row) => total + row[of], 0);
  const overs = rows.map((_row, from) => {
    const begins = [from, from - seconds / 2, from - seconds];
    const requests = Math.max(...begins.map((at) => sum(at, "requests")));
    const allowed = requests * LIMITS.ratio + LIMITS.burst;
    return sum(from, "further") - allowed;
  });
  return Math.max(...overs);
};

describe("further sends over all entries", () => {
  for (const entries of [5, 60, 300]) {
    it(`stay within the bound: ${entries} entries, steady`, () => {
      expect(excess(play(entries, () => 600))).to.be.at.most(0);
    });

    it(`stay within it: ${entries} entries, quiet after a rush`, () => {
      const rows = play(entries, (second) => (second < 15 ? 3000 : 60));
      expect(excess(rows)).to.be.at.most(0);
    });

    it(`use most of what is allowed: ${entries} entries`, () => {
      const rows = play(entries, () => 600).slice(PLAY_S / 2);
      const further = rows.reduce((sum, row) => sum + row.further, 0);
      const requests = rows.reduce((sum, row) => sum + row.requests, 0);
      expect(further / requests).to.be.above(LIMITS.ratio * 0.7);
    });
  }

  it("stay within it while nobody has counted sixty entries", () => {
    const rows = play(60, () => 600, undefined);
    expect(excess(rows)).to.be.at.most(0);
  });

  it("of what was sent without asking count as well", () => {
    let now = 0;
    const budgets = new RetryBudgets(
      LIMITS,
      () => 1,
      () => now,
    );
    budgets.recordRetries("s", 60);
    expect(budgets.tryRetry("s")).to.equal(false);
    now = 12_000;
    expect(budgets.tryRetry("s")).to.equal(true);
  });
});
