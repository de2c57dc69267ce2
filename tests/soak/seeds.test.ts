/** Short soak runs, among them seeds that once found a violation. */
import { expect } from "chai";

import { profileOf } from "../../soak/profile.js";
import { DEFAULT_SIZES, runSoak } from "../../soak/runSoak.js";

/** Seconds during which faults occur: few, since CI runs these on every change. */
const SECONDS = 5;

/** Seeds, each with the reason for running it. */
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
  { seed: 5, why: "streams cut while several software versions serve" },
  { seed: 8, why: "replicas that name limits" },
  { seed: 11, why: "a prompt part that ends each engine that writes on it" },
  { seed: 17, why: "answers of every framing that break off anywhere" },
  { seed: 32, why: "replies of other requests, and bytes without end" },
  { seed: 13, why: "entries that end again and again while replicas refuse" },
  { seed: 16, why: "clients that keep to no limit" },
  { seed: 26, why: "cut watches, removed replicas and moved stores in calm" },
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
