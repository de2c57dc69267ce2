/**
 * The sum over all entries, by the page's rule, at the sizes that there are
 * and will be; and that what a replica takes is used.
 */
import { expect } from "chai";

import { findRateBreaches } from "../../platform/standins/rateJudge.js";
import type {
  AnnouncedLimit,
  RateBreach,
} from "../../platform/standins/rateJudge.js";
import { playPermits } from "../support/permitFleet.js";
import type { PermitFleetOptions } from "../support/permitFleet.js";

const PLAY_MS = 40_000;
/** Windows count from the first naming on: stricter than the page. */
const BOUNDS = { contactMs: 0, windowMs: 4000 };
const SIZES = [
  { entries: 5, seeds: [1, 2, 3] },
  { entries: 60, seeds: [1, 2] },
  { entries: 300, seeds: [1] },
];
const LIMITS = [0.5, 4.3, 40];
/** Demand over the limit, where use is measured. */
const DEMAND_FACTOR = 3;

/** All entries were told long before. */
const judge = (
  options: PermitFleetOptions,
): { sent: number; breaches: RateBreach[] } => {
  const { entries, named } = options;
  const arrivals = playPermits(options, PLAY_MS);
  const names = Array.from({ length: entries }, (_, at) => String(at));
  const told = new Map(names.map((name) => [name, -Infinity]));
  const breaches = findRateBreaches({ arrivals, named, told }, BOUNDS);
  return { sent: arrivals.length, breaches };
};

const limitOf = (perS: number): AnnouncedLimit[] => [{ at: 0, perS }];

const changing = (
  count: number,
  everyMs: number,
  perS: (at: number) => number,
): AnnouncedLimit[] =>
  Array.from({ length: count }, (_, at) => ({
    at: at * everyMs,
    perS: perS(at),
  }));

/** Each ten seconds the holder is lost for two, and another one comes. */
const takeovers = (now: number) => {
  if (now % 10_000 >= 8000) return "none" as const;
  const isFirst = Math.floor(now / 10_000) % 2 === 0;
  return isFirst ? ("first" as const) : ("next" as const);
};

describe("a limit over all entries", () => {
  for (const { entries, seeds } of SIZES) {
    const expectKept = (options: Partial<PermitFleetOptions>): void => {
      for (const seed of seeds) {
        for (const perS of LIMITS) {
          const { breaches } = judge({
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

    describe(`${entries} of them`, () => {
      for (const load of ["even", "uneven"] as const) {
        for (const perS of LIMITS) {
          it(`is kept and used: ${perS} a second, ${load} load`, () => {
            const allowed = (perS * PLAY_MS) / 1000;
            for (const seed of seeds) {
              const demandPerS = perS * DEMAND_FACTOR;
              const named = limitOf(perS);
              const options = { entries, load, demandPerS, named, seed };
              const { sent, breaches } = judge(options);
              expect(breaches).to.deep.equal([]);
              expect(sent / allowed).to.be.within(0.8, 1.02);
            }
          });
        }
      }

      it("is kept over takeovers", () => expectKept({ holderAt: takeovers }));

      it("is kept where half of them reach no holder", () =>
        expectKept({ isCutOff: (entry) => entry % 2 === 0 }));

      it("is kept where none does", () => expectKept({ isCutOff: () => true }));

      it("is kept where all stood idle, then call at once", () => {
        const burst = { demandPerS: 2000, idleUntil: PLAY_MS / 2 };
        expectKept(burst);
        expectKept({ ...burst, isCutOff: () => true });
      });

      it("is kept where it falls, rises and flaps", () => {
        const flaps = changing(80, 500, (at) => (at % 2 === 0 ? 12 : 2));
        const falls = changing(8, 5000, (at) => 24 / (at + 1));
        const rises = changing(8, 5000, (at) => 3 * (at + 1));
        for (const named of [flaps, falls, rises]) expectKept({ named });
      });
    });
  }
});
