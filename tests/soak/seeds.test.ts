/** A short run of the soak, and seeds that failed once. */
import { expect } from "chai";

import { profileOf } from "../../soak/profile.js";
import { DEFAULT_SIZES, runSoak } from "../../soak/runSoak.js";

/** Time of faults, s: short, since CI runs it each time. */
const SECONDS = 5;

/** Seeds, each with why it is here. */
const SEEDS: readonly { seed: number; why: string }[] = [
  { seed: 1, why: "faults of all kinds" },
  { seed: 3, why: "planned work only" },
  {
    seed: 2,
    why: "failed once: the link turned a reset behind a body into a regular end",
  },
  {
    seed: 313,
    why: "failed once: where a link's delay ended, later bytes overtook",
  },
  { seed: 8, why: "replicas that name limits" },
  { seed: 4, why: "signals of replicas, and a store back from a copy" },
];

describe("soak", () => {
  for (const { seed, why } of SEEDS) {
    it(`keeps all promises with seed ${seed} (${why})`, async () => {
      const result = await runSoak({
        ...DEFAULT_SIZES,
        seed,
        seconds: SECONDS,
        profile: profileOf(seed),
      });
      expect(result.violations).to.eql([]);
      expect(result.records.calls.length).to.be.greaterThan(0);
    });
  }
});
