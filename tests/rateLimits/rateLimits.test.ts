/** How one process applies the rate limits that replicas name. Times are in ms. */
import { expect } from "chai";

import { RateLimits, RateNewsFilter } from "../../src/rateLimits/index.js";
import type { PermitShare, RateNews } from "../../src/rateLimits/index.js";

const SOLE_SHARE: PermitShare = { fraction: 1, isAllocator: true };
const FRACTIONAL_SHARE: PermitShare = { fraction: 0.1, isAllocator: false };

const newLimits = (share = SOLE_SHARE): RateLimits => {
  const limits = new RateLimits(() => 0.5);
  limits.shareOf = () => share;
  return limits;
};

const NEWS: RateNews = {
  replica: "r",
  perS: 2,
  endedAgoMs: undefined,
  reportedAgoMs: 0,
};

const answerWithLimit = (perS: number, sentAt = 0) => ({
  perS,
  mayEnd: true,
  sentAt,
});
const answerWithoutLimit = (sentAt: number, mayEnd = true) => ({
  perS: undefined,
  mayEnd,
  sentAt,
});

/** Counts the permits acquired in that time, asking for one each millisecond. */
const countAcquired = (
  limits: RateLimits,
  from: number,
  to: number,
): number => {
  let count = 0;
  for (let now = from; now < to; now += 1) {
    if (limits.acquire("r", now)) count += 1;
  }
  return count;
};

describe("the rate limit of a replica", () => {
  it("applies from the first response that names it, to that incarnation only", () => {
    const limits = newLimits();
    expect(limits.acquire("r", 0)).to.equal(true);
    limits.recordAnswer("r", answerWithLimit(2), 0);
    expect(limits.acquire("r", 1)).to.equal(false);
    expect(limits.acquire("its next life", 1)).to.equal(true);
    expect(countAcquired(limits, 0, 10_000)).to.be.within(19, 20);
  });

  it("starts without saved-up permits, also when a process becomes the sole allocator", () => {
    const limits = newLimits(FRACTIONAL_SHARE);
    limits.recordAnswer("r", answerWithLimit(2), 0);
    expect(countAcquired(limits, 0, 10_000)).to.be.within(1, 2);
    limits.shareOf = () => SOLE_SHARE;
    expect(limits.acquire("r", 10_000)).to.equal(false);
    expect(limits.acquire("r", 10_501)).to.equal(true);
  });

  it("lets a process with a fractional share save up no permits", () => {
    const limits = newLimits(FRACTIONAL_SHARE);
    limits.recordAnswer("r", answerWithLimit(2), 0);
    // One permit every five seconds, usable for half a second, first at 2.5 s.
    expect(limits.acquire("r", 12_400)).to.equal(false);
    expect(limits.acquire("r", 12_600)).to.equal(true);
    expect(limits.acquire("r", 12_700)).to.equal(false);
    expect(limits.acquire("r", 18_100)).to.equal(false);
    expect(limits.waitMs("r", 18_100)).to.be.closeTo(4400, 1);
  });

  it("that falls leaves no permits of the higher limit", () => {
    const limits = newLimits();
    limits.recordAnswer("r", answerWithLimit(12), 0);
    expect(limits.mayAcquire("r", 1000)).to.equal(true);
    limits.recordAnswer("r", answerWithLimit(0.5), 1000);
    expect(countAcquired(limits, 1000, 2000)).to.equal(0);
  });

  it("of zero still admits a request now and then, or it could never end", () => {
    const limits = newLimits();
    limits.recordAnswer("r", answerWithLimit(0), 0);
    expect(countAcquired(limits, 0, 20_000)).to.be.within(3, 4);
  });

  it("that is implausibly high is ignored", () => {
    const limits = newLimits();
    for (const perS of [Infinity, 1e12])
      limits.recordAnswer("r", answerWithLimit(perS), 0);
    expect(limits.isLimited("r", 0)).to.equal(false);
  });

  describe("ends", () => {
    it("with a response to a request sent after the limit was last named", () => {
      const limits = newLimits();
      limits.recordAnswer("r", answerWithLimit(2), 100);
      expect(limits.recordAnswer("r", answerWithoutLimit(100), 120)).to.equal(
        undefined,
      );
      expect(
        limits.recordAnswer("r", answerWithoutLimit(110, false), 120),
      ).to.equal(undefined);
      expect(limits.ratePerS("r", 120)).to.equal(2);
      const news = limits.recordAnswer("r", answerWithoutLimit(110), 130);
      expect(news).to.eql({
        replica: "r",
        perS: 2,
        endedAgoMs: 0,
        reportedAgoMs: 30,
      });
    });

    it("gradually, so that the load that caused the limit does not return at once", () => {
      const limits = newLimits();
      limits.recordAnswer("r", answerWithLimit(2), 0);
      limits.recordAnswer("r", answerWithoutLimit(1), 10);
      expect(limits.ratePerS("r", 1010)).to.equal(4);
      expect(limits.ratePerS("r", 3010)).to.equal(16);
      expect(limits.isLimited("r", 8009)).to.equal(true);
      expect(limits.isLimited("r", 8010)).to.equal(false);
      expect(limits.acquire("r", 8010)).to.equal(true);
    });

    it("unless a response names it again meanwhile", () => {
      const limits = newLimits();
      limits.recordAnswer("r", answerWithLimit(2), 0);
      limits.recordAnswer("r", answerWithoutLimit(1), 10);
      expect(limits.recordAnswer("r", answerWithLimit(2), 500)).to.include({
        perS: 2,
      });
      expect(limits.ratePerS("r", 60_000)).to.equal(2);
    });
  });

  describe("as propagated to other processes", () => {
    it("produces an update only when it changes", () => {
      const limits = newLimits();
      const first = limits.recordAnswer("r", answerWithLimit(2), 0);
      expect(first).to.eql(NEWS);
      expect(limits.recordAnswer("r", answerWithLimit(2), 5)).to.equal(
        undefined,
      );
      expect(limits.recordAnswer("r", answerWithLimit(3), 6)).to.include({
        perS: 3,
      });
      expect(limits.recordAnswer("r", answerWithoutLimit(7), 8)).to.include({
        endedAgoMs: 0,
      });
      expect(limits.recordAnswer("r", answerWithoutLimit(8), 9)).to.equal(
        undefined,
      );
    });

    it("applies and ends there as well", () => {
      const limits = newLimits();
      expect(limits.applyUpdate(NEWS, 0)).to.equal(true);
      expect(limits.acquire("r", 1)).to.equal(false);
      const end = { ...NEWS, endedAgoMs: 1000, reportedAgoMs: 2000 };
      expect(limits.applyUpdate(end, 2000)).to.equal(true);
      expect(limits.ratePerS("r", 2000)).to.equal(4);
    });

    it("is not replaced by the older limit of a process that reconnects", () => {
      const limits = newLimits();
      limits.applyUpdate(NEWS, 1000);
      const older = { ...NEWS, perS: 12, reportedAgoMs: 200 };
      expect(limits.applyUpdate(older, 1100)).to.equal(false);
      expect(limits.ratePerS("r", 1100)).to.equal(2);
    });

    it("does not return after its end, nor ends when it has been named since", () => {
      const limits = newLimits();
      limits.applyUpdate(NEWS, 1000);
      const end = { ...NEWS, endedAgoMs: 500, reportedAgoMs: 1500 };
      expect(limits.applyUpdate(end, 1100)).to.equal(false);
      expect(limits.ratePerS("r", 2000)).to.equal(2);
      limits.applyUpdate({ ...end, endedAgoMs: 0 }, 2000);
      const older = { ...NEWS, reportedAgoMs: 900 };
      expect(limits.applyUpdate(older, 2500)).to.equal(false);
      expect(limits.ratePerS("r", 3000)).to.equal(4);
    });

    it("is not created there by an update that says it has ended", () => {
      const limits = newLimits();
      limits.applyUpdate({ ...NEWS, endedAgoMs: 10, reportedAgoMs: 20 }, 0);
      expect(limits.isLimited("r", 0)).to.equal(false);
    });

    it("is sent again when it returns after it was dropped", () => {
      const filter = new RateNewsFilter();
      expect(filter.selectUpdates([NEWS])).to.eql([NEWS]);
      expect(filter.selectUpdates([])).to.eql([]);
      expect(filter.selectUpdates([NEWS])).to.eql([NEWS]);
    });

    it("is sent once to each process, except for its end and large changes", () => {
      const filter = new RateNewsFilter();
      const updatesFor = (perS: number, endedAgoMs?: number) =>
        filter.selectUpdates([{ ...NEWS, perS, endedAgoMs }]).length;
      expect([
        updatesFor(10),
        updatesFor(10),
        updatesFor(9),
        updatesFor(8.5),
      ]).to.eql([1, 0, 0, 0]);
      expect([
        updatesFor(7),
        updatesFor(7, 0),
        updatesFor(7, 300),
        updatesFor(7),
      ]).to.eql([1, 1, 0, 1]);
    });
  });
});
