/** What the planner of stages is told of the load. */
import { expect } from "chai";

import { EngineState } from "../../src/scheduling/engineState.js";
import { PrefillTimeModel } from "../../src/scheduling/prefillTimeModel.js";
import { NO_DEMAND } from "../../src/scheduling/demandTotals.js";
import { StageDemand } from "../../src/scheduling/stageDemand.js";

const STEP_MS = 300;

const engine = (): EngineState =>
  new EngineState(
    {
      id: "e",
      domain: "one",
      stage: "decode",
      slots: 8,
      kvCapacityTokens: 10_000,
    },
    new PrefillTimeModel(),
  );

/** Measures `steps` steps in which so much is asked for each ms. */
const measured = (
  demand: StageDemand,
  rates: { readMs: number; runMs: number },
  from: { at: number; readMs: number; runMs: number },
  steps: number,
) => {
  const state = { ...from };
  for (let step = 0; step < steps; step += 1) {
    state.at += STEP_MS;
    state.readMs += rates.readMs * STEP_MS;
    state.runMs += rates.runMs * STEP_MS;
    const asked = { ...NO_DEMAND, prefillMs: state.readMs, runMs: state.runMs };
    demand.measure(asked, [], state.at);
  }
  return state;
};

const START = { at: 0, readMs: 0, runMs: 0 };

describe("demand for stages", () => {
  it("follows the reading that is asked for, in engines", () => {
    const demand = new StageDemand();
    demand.measure(NO_DEMAND, [], 0);
    measured(demand, { readMs: 4, runMs: 0 }, START, 20);
    expect(demand.prefillEngines).to.be.closeTo(4, 0.1);
  });

  it("remembers a rush for a while, not for ever", () => {
    const demand = new StageDemand();
    demand.measure(NO_DEMAND, [], 0);
    const rush = measured(demand, { readMs: 4, runMs: 0 }, START, 20);
    const calm = { readMs: 0.5, runMs: 0 };
    const soon = measured(demand, calm, rush, 50);
    expect(demand.prefillEngines).to.be.greaterThan(3);
    measured(demand, calm, soon, 1000);
    expect(demand.prefillEngines).to.be.lessThan(0.6);
  });

  it("expects runs by their lengths before they have come together", () => {
    const demand = new StageDemand();
    demand.measure(NO_DEMAND, [], 0);
    measured(demand, { readMs: 0, runMs: 30 }, START, 20);
    expect(demand.peakRuns).to.be.closeTo(30, 1);
  });

  it("counts the runs that are there where they are more", () => {
    const demand = new StageDemand();
    const busy = engine();
    const length = {
      estimatedTokens: 50,
      maxTokens: 50,
      steepness: 4,
      leftMs: 9999,
    };
    const run = { tokens: 100, deadlineAt: 9999, length };
    for (let at = 0; at < 5; at += 1) busy.runs.add(`r${at}`, run, 0);
    demand.measure(NO_DEMAND, [busy], 0);
    demand.measure(NO_DEMAND, [busy], STEP_MS);
    expect(demand.peakRuns).to.equal(5);
    expect(demand.peakRunTokens).to.equal(500);
  });
});
