/** What is learnt of the engines' pace, from none, few and absurd reads. */
import { expect } from "chai";

import { EngineState } from "../../src/scheduling/engineState.js";
import {
  PrefillTimeModel,
  prefillWorkOf,
} from "../../src/scheduling/prefillTimeModel.js";
import type {
  PrefillCost,
  PrefillWork,
} from "../../src/scheduling/prefillTimeModel.js";
import { seededRng } from "../../src/shared/rng.js";

const RIGHT_WITHIN = 0.2;
const LEARNT_AFTER = 20;
const JUDGED = 100;

/** Prompts as a rulebook or a log makes them: shared parts, long tails. */
const randomWork = (rng: () => number): PrefillWork => {
  const promptTokens = 800 + 20_000 * rng() ** 2;
  return prefillWorkOf(promptTokens, rng() < 0.5 ? promptTokens * 0.7 : 0);
};

const timeOf = (cost: PrefillCost, work: PrefillWork): number =>
  cost.fixedMs + cost.tokenMs * work.tokens + cost.mPairMs * work.mPairs;

describe("pace of reading", () => {
  const speeds = [20, 64, 150, 300, 400].flatMap((tokensPerMs) => [
    { tokensPerMs, mPairMs: 0.1, noise: 0.05 },
    { tokensPerMs, mPairMs: 0.7, noise: 0.1 },
  ]);
  for (const { tokensPerMs, mPairMs, noise } of speeds) {
    it(`is right after a few reads at ${tokensPerMs} tokens a ms`, () => {
      const rng = seededRng(7);
      const cost = { fixedMs: 3, tokenMs: 1 / tokensPerMs, mPairMs };
      const pace = new PrefillTimeModel();
      pace.estimateFromObjective(500, 9000);
      const took = (work: PrefillWork) =>
        timeOf(cost, work) * (1 + noise * (rng() * 2 - 1));
      for (let read = 0; read < LEARNT_AFTER; read += 1) {
        const work = randomWork(rng);
        pace.observe(work, took(work));
      }
      let right = 0;
      for (let read = 0; read < JUDGED; read += 1) {
        const work = randomWork(rng);
        const tookMs = took(work);
        const off = Math.abs(pace.estimateMs(work) - tookMs) / tookMs;
        if (off <= RIGHT_WITHIN) right += 1;
        pace.observe(work, tookMs);
      }
      expect(right).to.be.at.least(JUDGED * 0.9);
    });
  }

  it("is guessed from the objectives before the first read", () => {
    const pace = new PrefillTimeModel();
    expect(pace.estimateMs(prefillWorkOf(9000, 0))).to.equal(0);
    pace.estimateFromObjective(400, 8000);
    expect(pace.estimateMs(prefillWorkOf(8000, 0))).to.be.within(1, 400);
    expect(pace.learnedCost).to.equal(undefined);
  });

  it("follows the first read alone", () => {
    const pace = new PrefillTimeModel();
    pace.estimateFromObjective(400, 8000);
    pace.observe(prefillWorkOf(8000, 0), 900);
    expect(pace.estimateMs(prefillWorkOf(4000, 0))).to.be.closeTo(450, 1);
  });

  it("passes absurd reads by", () => {
    const rng = seededRng(3);
    const cost = { fixedMs: 1, tokenMs: 0.01, mPairMs: 0.2 };
    const pace = new PrefillTimeModel();
    pace.estimateFromObjective(500, 9000);
    for (let read = 0; read < 80; read += 1) {
      const work = randomWork(rng);
      const isAbsurd = read % 6 === 0;
      pace.observe(work, isAbsurd ? 30_000 : timeOf(cost, work));
    }
    const work = prefillWorkOf(12_000, 0);
    const expected = timeOf(cost, work);
    expect(pace.estimateMs(work)).to.be.closeTo(expected, expected * 0.2);
    for (const tookMs of [0, -5, NaN]) pace.observe(work, tookMs);
    expect(pace.estimateMs(work)).to.be.closeTo(expected, expected * 0.2);
  });

  it("turns when all engines have turned slow", () => {
    const pace = new PrefillTimeModel();
    const work = prefillWorkOf(6000, 0);
    for (let read = 0; read < 60; read += 1) pace.observe(work, 60);
    for (let read = 0; read < 200; read += 1) pace.observe(work, 240);
    expect(pace.estimateMs(work)).to.be.closeTo(240, 24);
  });

  it("goes on from what another process has learnt", () => {
    const pace = new PrefillTimeModel();
    const cost = { fixedMs: 2, tokenMs: 0.02, mPairMs: 0.1 };
    pace.restoreCost(cost);
    expect(pace.learnedCost).to.deep.equal(cost);
    pace.observe(prefillWorkOf(5000, 0), 5000);
    expect(pace.estimateMs(prefillWorkOf(5000, 0))).to.be.closeTo(103, 5);
    pace.restoreCost({ fixedMs: NaN, tokenMs: 1, mPairMs: 1 });
    expect(pace.estimateMs(prefillWorkOf(5000, 0))).to.be.closeTo(103, 5);
  });

  describe("of one engine", () => {
    const PROMPT = 6000;
    const view = (id: string) => ({
      id,
      stage: "prefill" as const,
      domain: "z",
      slots: 8,
      kvCapacityTokens: 100_000,
    });
    const read = (engine: EngineState, at: number, tookMs: number) => {
      const work = prefillWorkOf(PROMPT, 0);
      engine.addPrefill(`r${at}`, work, engine.prefillCostMs(PROMPT, 0), at);
      engine.endPrefill(`r${at}`, true, at + tookMs);
    };

    it("is seen where it turns slow, and when it is well again", () => {
      const pace = new PrefillTimeModel();
      const slow = new EngineState(view("slow"), pace);
      const others = [1, 2, 3, 4].map(
        (at) => new EngineState(view(`e${at}`), pace),
      );
      const round = (from: number, slowMs: number) => {
        for (let at = from; at < from + 20; at += 1) {
          for (const other of others) read(other, at * 1000, 50);
          read(slow, at * 1000, slowMs);
        }
      };
      round(0, 50);
      round(20, 200);
      expect(slow.prefillCostMs(PROMPT, 0)).to.be.closeTo(200, 40);
      expect(others[0]!.prefillCostMs(PROMPT, 0)).to.be.closeTo(50, 10);
      round(40, 50);
      expect(slow.prefillCostMs(PROMPT, 0)).to.be.closeTo(50, 10);
    });

    it("counts reads that end together as one", () => {
      const pace = new PrefillTimeModel();
      const engine = new EngineState(view("a"), pace);
      for (let at = 0; at < 40; at += 1) {
        const begun = at * 1000;
        const cost = engine.prefillCostMs(PROMPT, 0);
        for (const id of ["x", "y"]) {
          engine.addPrefill(
            `${id}${at}`,
            prefillWorkOf(PROMPT, 0),
            cost,
            begun,
          );
        }
        engine.endPrefill(`x${at}`, true, begun + 100);
        engine.endPrefill(`y${at}`, true, begun + 101);
      }
      const twoMs = engine.prefillCostMs(PROMPT, 0) * 2;
      expect(twoMs).to.be.within(90, 220);
    });
  });
});
