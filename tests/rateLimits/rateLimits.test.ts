/** What one process makes of the rates that replicas name. Times are ms. */
import { expect } from "chai";

import { RateLimits, RateNewsFilter } from "../../src/rateLimits/index.js";
import type { PermitShare } from "../../src/rateLimits/index.js";

const SOLE: PermitShare = { fraction: 1, isAllocator: true };
const ONE_OF_MANY: PermitShare = { fraction: 0.1, isAllocator: false };

const newLimits = (share = SOLE): RateLimits => {
  const limits = new RateLimits(() => 0.5);
  limits.shareOf = () => share;
  return limits;
};

const named = (perS: number, sentAt = 0) => ({ perS, mayEnd: true, sentAt });
const silent = (sentAt: number, mayEnd = true) => ({
  perS: undefined,
  mayEnd,
  sentAt,
});

/** Permits taken in that time, one asked for each ms. */
const taken = (limits: RateLimits, from: number, to: number): number => {
  let count = 0;
  for (let now = from; now < to; now += 1) {
    if (limits.acquire("r", now)) count += 1;
  }
  return count;
};

describe("the limit of a replica", () => {
  it("binds from the first answer that names it, by life", () => {
    const limits = newLimits();
    expect(limits.acquire("r", 0)).to.equal(true);
    limits.recordAnswer("r", named(2), 0);
    expect(limits.acquire("r", 1)).to.equal(false);
    expect(limits.acquire("its next life", 1)).to.equal(true);
    expect(taken(limits, 0, 10_000)).to.be.within(19, 20);
  });

  it("starts with nothing, also for who has come to spend it alone", () => {
    const limits = newLimits(ONE_OF_MANY);
    limits.recordAnswer("r", named(2), 0);
    expect(taken(limits, 0, 10_000)).to.be.within(1, 2);
    limits.shareOf = () => SOLE;
    expect(limits.acquire("r", 10_000)).to.equal(false);
    expect(limits.acquire("r", 10_501)).to.equal(true);
  });

  it("leaves nothing to keep for later to one of many", () => {
    const limits = newLimits(ONE_OF_MANY);
    limits.recordAnswer("r", named(2), 0);
    // One each five seconds, open for half a second, first at 2.5 s.
    expect(limits.acquire("r", 12_400)).to.equal(false);
    expect(limits.acquire("r", 12_600)).to.equal(true);
    expect(limits.acquire("r", 12_700)).to.equal(false);
    expect(limits.acquire("r", 18_100)).to.equal(false);
    expect(limits.waitMs("r", 18_100)).to.be.closeTo(4400, 1);
  });

  it("of none still lets one through now and then: else it never ends", () => {
    const limits = newLimits();
    limits.recordAnswer("r", named(0), 0);
    expect(taken(limits, 0, 20_000)).to.be.within(3, 4);
  });

  it("that is out of all bounds is none", () => {
    const limits = newLimits();
    for (const perS of [Infinity, 1e12])
      limits.recordAnswer("r", named(perS), 0);
    expect(limits.isLimited("r", 0)).to.equal(false);
  });

  describe("ends", () => {
    it("with an answer to what was sent after it was named last", () => {
      const limits = newLimits();
      limits.recordAnswer("r", named(2), 100);
      expect(limits.recordAnswer("r", silent(100), 120)).to.equal(undefined);
      expect(limits.recordAnswer("r", silent(110, false), 120)).to.equal(
        undefined,
      );
      expect(limits.ratePerS("r", 120)).to.equal(2);
      const news = limits.recordAnswer("r", silent(110), 130);
      expect(news).to.eql({ replica: "r", perS: 2, endedAgoMs: 0 });
    });

    it("bit by bit: what had put it in need must not return at once", () => {
      const limits = newLimits();
      limits.recordAnswer("r", named(2), 0);
      limits.recordAnswer("r", silent(1), 10);
      expect(limits.ratePerS("r", 1010)).to.equal(4);
      expect(limits.ratePerS("r", 3010)).to.equal(16);
      expect(limits.isLimited("r", 8009)).to.equal(true);
      expect(limits.isLimited("r", 8010)).to.equal(false);
      expect(limits.acquire("r", 8010)).to.equal(true);
    });

    it("not where it is named again meanwhile", () => {
      const limits = newLimits();
      limits.recordAnswer("r", named(2), 0);
      limits.recordAnswer("r", silent(1), 10);
      expect(limits.recordAnswer("r", named(2), 500)).to.include({ perS: 2 });
      expect(limits.ratePerS("r", 60_000)).to.equal(2);
    });
  });

  describe("as others are told", () => {
    it("is news where it changes, and only then", () => {
      const limits = newLimits();
      const first = limits.recordAnswer("r", named(2), 0);
      expect(first).to.eql({ replica: "r", perS: 2, endedAgoMs: undefined });
      expect(limits.recordAnswer("r", named(2), 5)).to.equal(undefined);
      expect(limits.recordAnswer("r", named(3), 6)).to.include({ perS: 3 });
      expect(limits.recordAnswer("r", silent(7), 8)).to.include({
        endedAgoMs: 0,
      });
      expect(limits.recordAnswer("r", silent(8), 9)).to.equal(undefined);
    });

    it("binds and ends there as well", () => {
      const limits = newLimits();
      const news = { replica: "r", perS: 2, endedAgoMs: undefined };
      expect(limits.applyUpdate(news, 0)).to.equal(true);
      expect(limits.acquire("r", 1)).to.equal(false);
      expect(limits.applyUpdate({ ...news, endedAgoMs: 1000 }, 2000)).to.equal(
        true,
      );
      expect(limits.ratePerS("r", 2000)).to.equal(4);
    });

    it("does not bring back one that is not known there", () => {
      const limits = newLimits();
      limits.applyUpdate({ replica: "r", perS: 2, endedAgoMs: 10 }, 0);
      expect(limits.isLimited("r", 0)).to.equal(false);
    });

    it("is told anew where it comes back after it was forgotten", () => {
      const filter = new RateNewsFilter();
      const news = { replica: "r", perS: 2, endedAgoMs: undefined };
      expect(filter.selectUpdates([news])).to.eql([news]);
      expect(filter.selectUpdates([])).to.eql([]);
      expect(filter.selectUpdates([news])).to.eql([news]);
    });

    it("is told to each once, but for ends and large changes", () => {
      const filter = new RateNewsFilter();
      const told = (perS: number, endedAgoMs?: number) =>
        filter.selectUpdates([{ replica: "r", perS, endedAgoMs }]).length;
      expect([told(10), told(10), told(9), told(8.5)]).to.eql([1, 0, 0, 0]);
      expect([told(7), told(7, 0), told(7, 300), told(7)]).to.eql([1, 1, 0, 1]);
    });
  });
});
