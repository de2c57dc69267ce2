/** The limit on retries over all processes of all entries, one life after another. */
import { expect } from "chai";
import fc from "fast-check";

import { worstWindow } from "../../src/shared/worstWindow.js";
import { RetryFleet } from "../support/retryFleet.js";

const LIMITS = { ratio: 0.2, burst: 96, windowMs: 10_000 };
const SECOND_MS = 1000;
const WINDOW_S = LIMITS.windowMs / SECOND_MS;
/** Retries that a request needs if it fails. */
const RETRIES_NEEDED = 3;
/** Time from a kill until the next process serves. */
const DOWN_MS = 500;

interface Lives {
  entries: number;
  /** All entries are killed each time that one of these ends. */
  lifeMs: number;
  /** Over all entries. */
  requestsPerS: number;
  /** Before the first failure and the first kill. */
  calmS?: number;
}

/** Plays two windows in which all requests fail. */
const playLives = (lives: Lives): RetryFleet => {
  const { entries, lifeMs, requestsPerS, calmS = 0 } = lives;
  const fleet = new RetryFleet({ limits: LIMITS, entries, counted: entries });
  const gapMs = SECOND_MS / requestsPerS;
  const calmMs = calmS * SECOND_MS;
  const endsAt = calmMs + 2 * LIMITS.windowMs;
  for (let at = 0; at * gapMs < endsAt; at += 1) {
    fleet.now = at * gapMs;
    const sinceKill = (fleet.now - calmMs) % lifeMs;
    const isDown = fleet.now > calmMs + lifeMs && sinceKill < DOWN_MS;
    for (let entry = 0; entry < entries; entry += 1) {
      if (isDown) fleet.kill(entry);
      else fleet.restart(entry);
    }
    const isFailing = fleet.now >= calmMs;
    fleet.request(at % entries, isFailing ? RETRIES_NEEDED : 0);
  }
  return fleet;
};

/** Of the allowed retries, the part that was sent in the worst window. */
const mostUsed = ({ requests, retries }: RetryFleet): number => {
  const worst = worstWindow(requests, retries, LIMITS);
  return worst === undefined ? 0 : worst.retries / worst.allowed;
};

describe("retries over all processes of all entries", () => {
  for (const entries of [5, 22, 28, 32, 60]) {
    for (const livesInWindow of [1, 2, 3, 4, 6]) {
      const name = `${entries} entries, ${livesInWindow} lives in a window`;
      it(`stay within the limit: ${name}`, () => {
        const lifeMs = LIMITS.windowMs / livesInWindow;
        const fleet = playLives({ entries, lifeMs, requestsPerS: 40 });
        expect(mostUsed(fleet)).to.be.at.most(1);
      });
    }
  }

  it("stay within the limit when all entries are killed just after failures begin", () => {
    const lives = { entries: 28, lifeMs: 1500, requestsPerS: 600, calmS: 10 };
    const fleet = playLives(lives);
    expect(mostUsed(fleet)).to.be.at.most(1);
  });

  it("are not lost to callers of a process that was started again", () => {
    const lives = { entries: 28, lifeMs: 3000, requestsPerS: 600 };
    const { requests, retries } = playLives(lives);
    const from = LIMITS.windowMs;
    const share =
      retries.filter((at) => at >= from).length /
      requests.filter((at) => at >= from).length;
    expect(share).to.be.above(LIMITS.ratio / 2);
  });

  it("stay within the limit at any traffic, failures and lives", () => {
    const seconds = 3 * WINDOW_S;
    const perSecond = fc.record({
      requestsPerEntry: fc.constantFrom(0, 1, 3, 10),
      isFailing: fc.boolean(),
      /** Share of the entries that are killed. */
      killed: fc.constantFrom(0, 0, 0, 0.3, 0.7, 1),
      sendsEach: fc.constantFrom(1, 1, 2),
    });
    const days = fc.array(perSecond, {
      minLength: seconds,
      maxLength: seconds,
    });
    const property = fc.property(
      fc.constantFrom(3, 28, 32, 45),
      days,
      (entries, day) => {
        const fleet = new RetryFleet({
          limits: LIMITS,
          entries,
          counted: entries,
        });
        for (const [second, slot] of day.entries()) {
          const { requestsPerEntry, isFailing, killed, sendsEach } = slot;
          const isKilled = (entry: number) => entry < killed * entries;
          for (let entry = 0; entry < entries; entry += 1) {
            fleet.now = second * SECOND_MS;
            if (isKilled(entry)) fleet.kill(entry);
            fleet.now += DOWN_MS;
            fleet.restart(entry);
          }
          for (let at = 0; at < requestsPerEntry; at += 1) {
            const pastMs = (at * (SECOND_MS - DOWN_MS)) / requestsPerEntry;
            fleet.now = second * SECOND_MS + DOWN_MS + pastMs;
            const retries = isFailing ? RETRIES_NEEDED : 0;
            for (let entry = 0; entry < entries; entry += 1) {
              fleet.request(entry, retries, sendsEach);
            }
          }
        }
        return mostUsed(fleet) <= 1;
      },
    );
    fc.assert(property, { numRuns: 60, seed: 64 });
  });
});
