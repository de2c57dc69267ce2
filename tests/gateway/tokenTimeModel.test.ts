/** Models of the time per token and of answer lengths; deadline misses. */
import { expect } from "chai";

import { AnswerLengths } from "../../src/scheduling/answerLengths.js";
import { EngineRuns } from "../../src/scheduling/engineRuns.js";
import { TokenTimeModel } from "../../src/scheduling/tokenTimeModel.js";

describe("token time model", () => {
  const load = (slotUsage: number) => ({
    slotUsage,
    tokens: slotUsage * 100_000,
  });

  it("has no estimate before enough streams have ended", () => {
    const model = new TokenTimeModel();
    for (let at = 0; at < 15; at += 1) model.observe(load(0.2), 1);
    expect(model.estimateMs(load(0.2))).to.equal(undefined);
  });

  it("fits the time per token to the load of an engine", () => {
    const model = new TokenTimeModel();
    for (let at = 0; at < 160; at += 1) {
      const slotUsage = (at % 16) / 16;
      model.observe(load(slotUsage), 0.6 + 0.9 * slotUsage);
    }
    expect(model.estimateMs(load(0.2))).to.be.closeTo(0.78, 0.04);
    expect(model.estimateMs(load(1))).to.be.closeTo(1.5, 0.07);
  });

  it("expects a full engine to be slower without samples of one", () => {
    const model = new TokenTimeModel();
    for (let at = 0; at < 32; at += 1) model.observe(load(0.2), 1);
    expect(model.estimateMs(load(0.2))).to.be.closeTo(1, 0.05);
    expect(model.estimateMs(load(1))).to.be.at.least(1.4);
  });
});

describe("answer lengths", () => {
  it("have a steep distribution where estimates are accurate", () => {
    const lengths = new AnswerLengths();
    for (let at = 1; at <= 60; at += 1) lengths.observe(at * 500, at * 10);
    expect(lengths.tokensPerEvent).to.equal(50);
    expect(lengths.steepness).to.be.at.least(10);
  });

  it("have a flatter distribution where estimates are inaccurate", () => {
    const lengths = new AnswerLengths();
    for (let at = 0; at < 60; at += 1) {
      const error = 3 ** ((at % 5) / 2 - 1);
      lengths.observe(5000 * error, 100);
    }
    expect(lengths.tokensPerEvent).to.be.closeTo(50, 1);
    expect(lengths.steepness).to.be.within(1.5, 4);
  });
});

describe("engine runs", () => {
  const SLOTS = 10;
  const length = {
    estimatedTokens: 1000,
    maxTokens: 1000,
    steepness: 20,
    leftMs: 1300,
  };
  const run = { tokens: 1000, deadlineAt: 1500, length };
  /** A token takes 1 ms on an empty engine and 2 ms on a full one. */
  const newRuns = (): EngineRuns => {
    const model = new TokenTimeModel();
    for (let at = 0; at < 160; at += 1) {
      const slotUsage = (at % 16) / 16;
      model.observe({ slotUsage, tokens: 0 }, 1 + slotUsage);
    }
    return new EngineRuns(() => SLOTS, model);
  };

  it("are expected to meet their deadline on a lightly loaded engine", () => {
    const runs = newRuns();
    runs.add("one", run, 0);
    const { own, others } = runs.estimateMisses(1000, length)!;
    expect(own + others).to.be.at.most(0.1);
  });

  it("count the misses that an added run causes among the others", () => {
    const runs = newRuns();
    for (let at = 0; at < 3; at += 1) runs.add(`${at}`, run, 0);
    const { own, others } = runs.estimateMisses(1000, length)!;
    expect(others).to.be.above(own);
    expect(others).to.be.above(1);
  });

  it("are dropped after their deadline if no end is reported", () => {
    const runs = newRuns();
    runs.add("one", run, 0);
    expect(runs.expire(6000, 7500)).to.equal(0);
    expect(runs.expire(6000, 7501)).to.equal(1);
    expect(runs.tokens).to.equal(0);
  });

  it("learn nothing from a stream that took no time", () => {
    const runs = newRuns();
    const before = runs.estimateMisses(1000, { ...length, leftMs: 900 })!;
    for (let at = 0; at < 20; at += 1) {
      runs.add(`${at}`, run, at);
      runs.recordTokenMs(`${at}`, 0, at + 1);
      runs.end(`${at}`, at + 1);
    }
    const after = runs.estimateMisses(1000, { ...length, leftMs: 900 })!;
    expect(after.own).to.equal(before.own);
  });
});
