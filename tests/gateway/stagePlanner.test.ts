/** How many engines should prefill, and how many decode. */
import { expect } from "chai";

import { planStages } from "../../src/scheduling/index.js";
import type { PlannedEngine, Stage } from "../../src/scheduling/index.js";

describe("stage planner", () => {
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
  const baseInput = {
    prefillDemand: 1,
    decodePrefillDemand: 0,
    peakRuns: 5,
    peakRunTokens: 500,
    sinceChangeToPrefillMs: Infinity,
    sinceChangeToDecodeMs: Infinity,
  };

  const cases = [
    {
      name: "changes nothing if both stages have equal headroom",
      prefill: 4,
      decode: 4,
      prefillDemand: 2,
      peakRuns: 20,
      to: undefined,
    },
    {
      name: "moves a spare engine to prefill before a burst of prompts",
      prefill: 3,
      decode: 5,
      prefillDemand: 2,
      peakRuns: 10,
      to: "prefill",
    },
    {
      name: "moves a spare engine to decode before answers grow",
      prefill: 5,
      decode: 3,
      prefillDemand: 1,
      peakRuns: 18,
      to: "decode",
    },
    {
      name: "keeps prefill engines that prompts need",
      prefill: 5,
      decode: 3,
      prefillDemand: 4,
      peakRuns: 60,
      to: undefined,
    },
    {
      name: "changes nothing because of a few prompts",
      prefill: 4,
      decode: 4,
      prefillDemand: 0.15,
      peakRuns: 0,
      to: undefined,
    },
    {
      name: "changes nothing because of a few answers",
      prefill: 4,
      decode: 4,
      prefillDemand: 0,
      peakRuns: 1,
      to: undefined,
    },
    {
      name: "moves towards half of the engines in prefill without any demand",
      prefill: 3,
      decode: 5,
      prefillDemand: 0,
      peakRuns: 0,
      to: "prefill",
    },
    {
      name: "moves towards half of the engines in decode without any demand",
      prefill: 5,
      decode: 3,
      prefillDemand: 0,
      peakRuns: 0,
      to: "decode",
    },
    {
      name: "moves an idle decode engine to prefill",
      prefill: 3,
      decode: 5,
      prefillDemand: 4,
      peakRuns: 5,
      to: "prefill",
    },
    {
      name: "keeps decode engines that runs need",
      prefill: 3,
      decode: 5,
      prefillDemand: 6,
      peakRuns: 36,
      to: undefined,
    },
    {
      name: "moves an engine back to decode if runs need it",
      prefill: 6,
      decode: 2,
      prefillDemand: 1,
      peakRuns: 25,
      to: "decode",
    },
    {
      name: "keeps decode engines despite a high prefill demand",
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
        ...baseInput,
        engines,
        prefillDemand,
        peakRuns,
      });
      expect(change?.to).to.equal(to);
    });
  }

  it("keeps enough decode engines for the prefill that they do themselves", () => {
    const engines = fleet(3, 5);
    const input = { ...baseInput, engines, prefillDemand: 4 };
    expect(planStages({ ...input, decodePrefillDemand: 1 })?.to).to.equal(
      "prefill",
    );
    expect(planStages({ ...input, decodePrefillDemand: 2 })).to.equal(
      undefined,
    );
  });

  it("does not reverse a stage change soon afterwards", () => {
    const engines = fleet(3, 5);
    const input = { ...baseInput, engines, prefillDemand: 4 };
    expect(planStages({ ...input, sinceChangeToDecodeMs: 100 })).to.equal(
      undefined,
    );
  });

  describe("changes at most half of the fleet at a time", () => {
    const changingEngines = (count: number) =>
      Array.from({ length: count }, (_, at) =>
        planned("decode", 0, "prefill")(`c${at}`),
      );
    const rows = [
      { changing: 2, stable: 6, to: "prefill" },
      { changing: 7, stable: 9, to: "prefill" },
      { changing: 8, stable: 8, to: undefined },
    ];
    for (const { changing, stable, to } of rows) {
      it(`${changing} of ${changing + stable} changing: ${to ?? "none"}`, () => {
        const engines = [...fleet(2, stable - 2), ...changingEngines(changing)];
        const input = { ...baseInput, engines, prefillDemand: 20 };
        expect(planStages(input)?.to).to.equal(to);
      });
    }
  });

  it("changes the engine with the least work left", () => {
    const engines = [...fleet(3, 4, 4), planned("decode", 1)("idle")];
    const change = planStages({ ...baseInput, engines, prefillDemand: 4 });
    expect(change?.id).to.equal("idle");
  });

  describe("with several software versions, whose streams go on only there,", () => {
    const ofVersion = (softwareVersion: string, engines: PlannedEngine[]) =>
      engines.map((item) => ({
        ...item,
        id: `${softwareVersion}-${item.id}`,
        softwareVersion,
      }));
    const planFor = (...engines: PlannedEngine[][]) =>
      planStages({ ...baseInput, engines: engines.flat(), prefillDemand: 4 });

    it("keeps the last decode engine of each", () => {
      const old = ofVersion("v1", fleet(2, 4, 4));
      const change = planFor(old, ofVersion("v2", fleet(1, 1)));
      expect(change?.to).to.equal("prefill");
      expect(change?.id).to.match(/^v1-d/);
    });

    it("has one decode where none of a version does", () => {
      const old = ofVersion("v1", fleet(0, 4));
      const change = planFor(old, ofVersion("v2", fleet(2, 0)));
      expect(change?.to).to.equal("decode");
      expect(change?.id).to.match(/^v2-p/);
      const changing = ofVersion("v2", [
        planned("prefill", 0, "decode")("c"),
        planned("prefill")("p"),
      ]);
      expect(planFor(old, changing)?.to).to.not.equal("decode");
    });

    it("has one prefill where all versions have one engine", () => {
      const change = planFor(
        ofVersion("v1", fleet(0, 1)),
        ofVersion("v2", fleet(0, 1)),
        ofVersion("v3", fleet(0, 1)),
      );
      expect(change?.to).to.equal("prefill");
    });

    it("leaves the only engine of a version in its stage", () => {
      const old = ofVersion("v1", fleet(2, 2));
      expect(planFor(old, ofVersion("v2", fleet(1, 0)))?.id).to.not.match(
        /^v2/,
      );
    });
  });
});
