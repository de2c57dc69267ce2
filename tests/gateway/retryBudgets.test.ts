/**
 * The limit on retries applies to the sum over all entries, as the limit of a
 * replica does. With an independent budget per entry, tokens saved up earlier
 * and the bursts of many entries could be spent in one window.
 */
import { expect } from "chai";

import { RetryBudgets } from "../../src/gateway/retryBudgets.js";

const LIMITS = { ratio: 0.2, burst: 56, windowMs: 10_000 };
/** Retries attempted by one failing request. */
const RETRIES_PER_REQUEST = 3;
const SECOND_MS = 1000;
const DURATION_S = 60;

/** Simulates all entries; returns their requests and retries per second. */
const simulate = (
  entries: number,
  requestsAt: (second: number) => number,
  knownEntries: number | undefined = entries,
) => {
  let now = 0;
  const allBudgets = Array.from(
    { length: entries },
    () =>
      new RetryBudgets(
        LIMITS,
        { entries: () => knownEntries, isFirstStart: true },
        () => now,
      ),
  );
  const rows: { requests: number; retries: number }[] = [];
  for (let second = 0; second < DURATION_S; second += 1) {
    const requests = requestsAt(second);
    let retries = 0;
    for (let at = 0; at < requests; at += 1) {
      now = second * SECOND_MS + (at * SECOND_MS) / requests;
      const budgets = allBudgets[at % entries];
      budgets?.recordRequest("s");
      // Nothing fails in the first half, so that the budgets fill up.
      const attempts = second < DURATION_S / 2 ? 0 : RETRIES_PER_REQUEST;
      for (let retry = 0; retry < attempts; retry += 1) {
        const permit = budgets?.acquire("s");
        permit?.settle();
        if (permit !== undefined) retries += 1;
      }
    }
    rows.push({ requests, retries });
  }
  return rows;
};

/** Largest number of retries above the limit in any window. */
const excess = (rows: ReturnType<typeof simulate>): number => {
  const seconds = LIMITS.windowMs / SECOND_MS;
  const sum = (from: number, field: "requests" | "retries") =>
    rows
      .slice(Math.max(0, from), Math.max(0, from + seconds))
      .reduce((total, row) => total + row[field], 0);
  const excesses = rows.map((_row, from) => {
    const starts = [from, from - seconds / 2, from - seconds];
    const requests = Math.max(...starts.map((at) => sum(at, "requests")));
    const allowed = requests * LIMITS.ratio + LIMITS.burst;
    return sum(from, "retries") - allowed;
  });
  return Math.max(...excesses);
};

describe("retries over all entries", () => {
  for (const entries of [5, 60, 300]) {
    it(`stay within the limit: ${entries} entries, steady load`, () => {
      expect(excess(simulate(entries, () => 600))).to.be.at.most(0);
    });

    it(`stay within the limit: ${entries} entries, low load after a burst`, () => {
      const rows = simulate(entries, (second) => (second < 15 ? 3000 : 60));
      expect(excess(rows)).to.be.at.most(0);
    });

    it(`use most of the limit: ${entries} entries`, () => {
      const rows = simulate(entries, () => 600).slice(DURATION_S / 2);
      const retries = rows.reduce((sum, row) => sum + row.retries, 0);
      const requests = rows.reduce((sum, row) => sum + row.requests, 0);
      expect(retries / requests).to.be.above(LIMITS.ratio * 0.7);
    });
  }

  it("stay within the limit while the number of entries, sixty, is unknown", () => {
    const rows = simulate(60, () => 600, undefined);
    expect(excess(rows)).to.be.at.most(0);
  });

  const newBudgets = (clock: { now: number }) =>
    new RetryBudgets(
      LIMITS,
      { entries: () => 1, isFirstStart: true },
      () => clock.now,
    );

  it("count while they are on their way, and a window after their answer", () => {
    const clock = { now: 0 };
    const budgets = newBudgets(clock);
    const permit = budgets.acquire("s");
    expect(budgets.hasRetry("s")).to.equal(false);
    clock.now = 60_000;
    expect(budgets.hasRetry("s")).to.equal(false);
    permit?.settle();
    permit?.settle();
    clock.now += LIMITS.windowMs;
    expect(budgets.hasRetry("s")).to.equal(false);
    clock.now += 2 * SECOND_MS;
    expect(budgets.hasRetry("s")).to.equal(true);
  });

  it("are all taken before the first of them is sent", () => {
    const clock = { now: 0 };
    const budgets = newBudgets(clock);
    for (let at = 0; at < 40; at += 1) budgets.recordRequest("s");
    // 40 * 0.2 * 0.25 + 56 / 32 retries are saved.
    expect(budgets.acquire("s", 4)).to.equal(undefined);
    expect(budgets.acquire("s", 2)).to.not.equal(undefined);
    expect(budgets.acquire("s", 2)).to.equal(undefined);
    expect(budgets.acquire("s")).to.not.equal(undefined);
  });

  it("that were not sent do not count once that is known", () => {
    const budgets = newBudgets({ now: 0 });
    budgets.acquire("s")?.settle(0);
    expect(budgets.hasRetry("s")).to.equal(true);
  });

  it("keep a part for failures where only a fraction may be used", () => {
    const budgets = newBudgets({ now: 0 });
    // 56 / 32 retries are allowed.
    expect(budgets.acquire("s", 1, 0.5)).to.equal(undefined);
    expect(budgets.acquire("s")).to.not.equal(undefined);
  });
});
