/**
 * Simulates permits for one replica across all entries, at current and planned
 * fleet sizes: the total must stay within the replica's documented rate limit,
 * and must use most of that limit under enough demand.
 */
import { expect } from "chai";

import { findRateBreaches } from "../../platform/standins/rateJudge.js";
import type {
  AnnouncedLimit,
  RateBreach,
} from "../../platform/standins/rateJudge.js";
import { simulatePermits } from "../support/permitFleet.js";
import type { PermitFleetOptions } from "../support/permitFleet.js";

const SIMULATED_MS = 40_000;
/** Windows count from when a limit is first named: stricter than documented. */
const BOUNDS = { contactMs: 0, windowMs: 4000 };
const SIZES = [
  { entries: 5, seeds: [1, 2, 3] },
  { entries: 60, seeds: [1, 2] },
  { entries: 300, seeds: [1] },
];
const LIMITS = [0.5, 4.3, 40];
/** Demand as a multiple of the limit, in the tests that measure use. */
const DEMAND_FACTOR = 3;

/** Counts every entry as having learned the limit long before the run. */
const findBreaches = (
  options: PermitFleetOptions,
): { sent: number; breaches: RateBreach[] } => {
  const { entries, named } = options;
  const arrivals = simulatePermits(options, SIMULATED_MS);
  const names = Array.from({ length: entries }, (_, at) => String(at));
  const told = new Map(names.map((name) => [name, -Infinity]));
  const breaches = findRateBreaches({ arrivals, named, told }, BOUNDS);
  return { sent: arrivals.length, breaches };
};

const limitOf = (perS: number): AnnouncedLimit[] => [{ at: 0, perS }];

const limitChanges = (
  count: number,
  everyMs: number,
  perS: (at: number) => number,
): AnnouncedLimit[] =>
  Array.from({ length: count }, (_, at) => ({
    at: at * everyMs,
    perS: perS(at),
  }));

/** In every ten seconds there is no holder for two; then the other one follows. */
const alternatingHolders = (now: number) => {
  if (now % 10_000 >= 8000) return "none" as const;
  const isFirst = Math.floor(now / 10_000) % 2 === 0;
  return isFirst ? ("first" as const) : ("next" as const);
};

describe("a replica's rate limit across all entries", () => {
  for (const { entries, seeds } of SIZES) {
    const expectNoBreaches = (options: Partial<PermitFleetOptions>): void => {
      for (const seed of seeds) {
        for (const perS of LIMITS) {
          const { breaches } = findBreaches({
            entries,
            seed,
            load: "even",
            demandPerS: 300,
            named: limitOf(perS),
            ...options,
          });
          expect(breaches).to.deep.equal([]);
        }
      }
    };

    describe(`with ${entries} entries`, () => {
      for (const load of ["even", "uneven"] as const) {
        for (const perS of LIMITS) {
          it(`is respected and used up: ${perS} requests per second, ${load} load`, () => {
            const allowed = (perS * SIMULATED_MS) / 1000;
            for (const seed of seeds) {
              const demandPerS = perS * DEMAND_FACTOR;
              const named = limitOf(perS);
              const options = { entries, load, demandPerS, named, seed };
              const { sent, breaches } = findBreaches(options);
              expect(breaches).to.deep.equal([]);
              expect(sent / allowed).to.be.within(0.8, 1.02);
            }
          });
        }
      }

      it("is respected while the lease changes holders", () =>
        expectNoBreaches({ holderAt: alternatingHolders }));

      it("is respected when half of the entries cannot reach the holder", () =>
        expectNoBreaches({ isCutOff: (entry) => entry % 2 === 0 }));

      it("is respected when no entry can reach the holder", () =>
        expectNoBreaches({ isCutOff: () => true }));

      it("is respected when all entries are idle and then send at once", () => {
        const burst = { demandPerS: 2000, idleUntil: SIMULATED_MS / 2 };
        expectNoBreaches(burst);
        expectNoBreaches({ ...burst, isCutOff: () => true });
      });

      it("is respected when the limit falls, rises and alternates", () => {
        const flaps = limitChanges(80, 500, (at) => (at % 2 === 0 ? 12 : 2));
        const falls = limitChanges(8, 5000, (at) => 24 / (at + 1));
        const rises = limitChanges(8, 5000, (at) => 3 * (at + 1));
        for (const named of [flaps, falls, rises]) expectNoBreaches({ named });
      });
    });
  }
});
