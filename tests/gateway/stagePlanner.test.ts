/** How many engines should read, and how many make tokens. */
import { expect } from "chai";

import { planStages } from "../../src/scheduling/index.js";
import type { PlannedEngine, Stage } from "../../src/scheduling/index.js";

describe("planner of stages", () => {
  const planned =
    (stage: Stage, runs = 0, changingTo?: Stage) =>
    (id: string): PlannedEngine => ({
      id,
      stage,
      runs,
      runTokens: runs * 100,
      slots: 10,
      kvCapacityTokens: 100_000,
      changingTo,
    });
  const fleet = (prefill: number, decode: number, runs = 0) => [
    ...Array.from({ length: prefill }, (_, at) => planned("prefill")(`p${at}`)),
    ...Array.from({ length: decode }, (_, at) =>
      planned("decode", runs)(`d${at}`),
    ),
  ];
  const question = {
    prefillDemand: 1,
    decodePrefillDemand: 0,
    peakRuns: 5,
    peakRunTokens: 500,
    sinceChangeToPrefillMs: Infinity,
    sinceChangeToDecodeMs: Infinity,
  };

  const cases = [
    {
      name: "leaves a fleet alone that can bear as much more of either",
      prefill: 4,
      decode: 4,
      prefillDemand: 2,
      peakRuns: 20,
      to: undefined,
    },
    {
      name: "has a spare engine read before prompts rush in",
      prefill: 3,
      decode: 5,
      prefillDemand: 2,
      peakRuns: 10,
      to: "prefill",
    },
    {
      name: "has a spare engine make tokens before answers grow",
      prefill: 5,
      decode: 3,
      prefillDemand: 1,
      peakRuns: 18,
      to: "decode",
    },
    {
      name: "takes no reader that prompts need",
      prefill: 5,
      decode: 3,
      prefillDemand: 4,
      peakRuns: 60,
      to: undefined,
    },
    {
      name: "judges nothing by a few prompts",
      prefill: 4,
      decode: 4,
      prefillDemand: 0.15,
      peakRuns: 0,
      to: undefined,
    },
    {
      name: "judges nothing by a few answers",
      prefill: 4,
      decode: 4,
      prefillDemand: 0,
      peakRuns: 1,
      to: undefined,
    },
    {
      name: "has half of the engines read while nothing was asked",
      prefill: 3,
      decode: 5,
      prefillDemand: 0,
      peakRuns: 0,
      to: "prefill",
    },
    {
      name: "has half of them make tokens while nothing was asked",
      prefill: 5,
      decode: 3,
      prefillDemand: 0,
      peakRuns: 0,
      to: "decode",
    },
    {
      name: "takes an idle engine for reading",
      prefill: 3,
      decode: 5,
      prefillDemand: 4,
      peakRuns: 5,
      to: "prefill",
    },
    {
      name: "takes none that runs need",
      prefill: 3,
      decode: 5,
      prefillDemand: 6,
      peakRuns: 36,
      to: undefined,
    },
    {
      name: "gives one back that runs need",
      prefill: 6,
      decode: 2,
      prefillDemand: 1,
      peakRuns: 25,
      to: "decode",
    },
    {
      name: "keeps engines that make tokens",
      prefill: 5,
      decode: 3,
      prefillDemand: 9,
      peakRuns: 0,
      to: undefined,
    },
  ];
  for (const { name, prefill, decode, prefillDemand, peakRuns, to } of cases) {
    it(name, () => {
      const engines = fleet(prefill, decode);
      const change = planStages({
        ...question,
        engines,
        prefillDemand,
        peakRuns,
      });
      expect(change?.to).to.equal(to);
    });
  }

  it("leaves enough engines for the rests of prompts that runners read", () => {
    const engines = fleet(3, 5);
    const asked = { ...question, engines, prefillDemand: 4 };
    expect(planStages({ ...asked, decodePrefillDemand: 1 })?.to).to.equal(
      "prefill",
    );
    expect(planStages({ ...asked, decodePrefillDemand: 2 })).to.equal(
      undefined,
    );
  });

  it("does not turn back soon after a change", () => {
    const engines = fleet(3, 5);
    const asked = { ...question, engines, prefillDemand: 4 };
    expect(planStages({ ...asked, sinceChangeToDecodeMs: 100 })).to.equal(
      undefined,
    );
  });

  describe("changes half of the fleet at a time at the most", () => {
    const changing = (count: number) =>
      Array.from({ length: count }, (_, at) =>
        planned("decode", 0, "prefill")(`c${at}`),
      );
    const rows = [
      { under: 2, still: 6, to: "prefill" },
      { under: 7, still: 9, to: "prefill" },
      { under: 8, still: 8, to: undefined },
    ];
    for (const { under, still, to } of rows) {
      it(`${under} of ${under + still} under way: ${to ?? "none"}`, () => {
        const engines = [...fleet(2, still - 2), ...changing(under)];
        const asked = { ...question, engines, prefillDemand: 20 };
        expect(planStages(asked)?.to).to.equal(to);
      });
    }
  });

  it("takes the engine with the least to finish", () => {
    const engines = [...fleet(3, 4, 4), planned("decode", 1)("idle")];
    const change = planStages({ ...question, engines, prefillDemand: 4 });
    expect(change?.id).to.equal("idle");
  });
});
