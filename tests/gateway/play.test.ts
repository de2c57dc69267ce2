/**
 * Loads played in virtual time on the decisions that place requests: what
 * callers get is checked, not what the decisions do. A play of one seed
 * always ends the same.
 */
import { expect } from "chai";

import { readLoad } from "../../bench/player/load.js";
import { Play } from "../../bench/player/play.js";
import { addTallies, servedBySize } from "../../bench/player/tally.js";

const SEED = 1;

interface Case {
  load: string;
  /** Least part of each kind's requests that is served in time. */
  inTime: Record<string, number>;
  /** Most changes of stage. */
  changes: number;
}

const CASES: Case[] = [
  {
    // Changes only where a stage lacks an engine: 0.87.
    load: "rush-after-quiet",
    inTime: { "long-prompt": 0.92, "long-answer": 0.9 },
    changes: 4,
  },
  {
    // The same: 0.82.
    load: "rush-on-many-engines",
    inTime: { "long-prompt": 0.88, "long-answer": 0.9 },
    changes: 18,
  },
  {
    // Changes back after 4 s: 0.88 and 0.78.
    load: "alternating-rushes",
    inTime: { "long-prompt": 0.95, "long-answer": 0.95 },
    changes: 8,
  },
  {
    // A fifth of the engines of each stage at least: 0.79 and 0.76.
    load: "makers-lost-in-a-rush",
    inTime: { "long-prompt": 0.85, "long-answer": 0.85 },
    changes: 8,
  },
  {
    // Needs of the last 1.5 s: 0.83 of the prompts, 27 changes.
    load: "swings-on-many-engines",
    inTime: { "long-prompt": 0.85, "long-answer": 0.98 },
    changes: 24,
  },
  {
    // The same: 0.92, 0.96 and 0.94.
    load: "cold-start-of-slow-readers",
    inTime: {
      "long-prompt": 0.95,
      "middle-prompt": 0.97,
      "short-prompt": 0.95,
    },
    changes: 6,
  },
  {
    // Runners chosen without regard to their pace: 0.92 of the answers.
    load: "longest-answers-in-a-rush",
    inTime: { "long-prompt": 0.95, "long-answer": 0.93 },
    changes: 8,
  },
];

describe("loads played on the decisions", () => {
  for (const { load, inTime, changes } of CASES) {
    it(load, () => {
      const file = `bench/loads/${load}.yaml`;
      const played = new Play(readLoad(file), SEED).run();
      for (const [kind, least] of Object.entries(inTime)) {
        const tally = played.tallies.get(kind)!;
        expect(tally.inTime / tally.asked, kind).to.be.at.least(least);
        const { all, large, largest } = servedBySize(tally);
        expect(Math.min(large, largest) / all, kind).to.be.at.least(0.5);
      }
      expect(played.changes).to.be.at.most(changes);
    });
  }

  it("counts runs until they end", () => {
    const load = readLoad("bench/loads/longest-answers-in-a-rush.yaml");
    expect(new Play(load, SEED).run().maxUncountedRuns).to.equal(0);
  });

  it("serves the longest answers nearly as often as the rest", () => {
    const load = readLoad("bench/loads/longest-answers-in-a-rush.yaml");
    const tallies = [1, 2, 3].flatMap(
      (seed) => new Play(load, seed).run().tallies.get("long-answer") ?? [],
    );
    const served = servedBySize(addTallies(tallies));
    expect(served.largest / served.all).to.be.at.least(0.8);
  });

  it("ends the same when played again", () => {
    const load = readLoad("bench/loads/swings-and-lost-engines.yaml");
    const [first, second] = [0, 1].map(() => new Play(load, SEED).run());
    expect(first!.tallies).to.eql(second!.tallies);
  });

  it("names file and line of a load that can't be read", () => {
    expect(() => readLoad("bench/loads/absent.yaml")).to.throw("absent.yaml");
  });
});
