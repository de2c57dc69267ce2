/** Who may use how much of what a replica takes, by the state of the holder. */
import { expect } from "chai";

import { HolderConnection } from "../../src/placement/holderConnection.js";
import type { LeaseKeeper } from "../../src/placement/leaseKeeper.js";
import type { PlacementClient } from "../../src/placement/placementClient.js";
import { RatePermits } from "../../src/placement/ratePermits.js";
import { RateLimits } from "../../src/rateLimits/index.js";

const link = (
  service: string,
  lease: { isHolder: boolean; isFresh: boolean },
  entries?: number,
): HolderConnection => {
  const found = new HolderConnection(service, lease as LeaseKeeper);
  if (entries !== undefined) found.recordEntryCount(entries, 0);
  return found;
};

const HOLDER = { isHolder: true, isFresh: true };
const STALE = { isHolder: true, isFresh: false };
const OTHER = { isHolder: false, isFresh: false };

const permitsOf = (links: HolderConnection[], here = 60): RatePermits => {
  const rates = new RateLimits(() => 0.5);
  const permits = new RatePermits({
    rates,
    connections: new Map(links.map((item) => [item.service, item])),
    connectedEntries: () => here,
    now: () => 0,
  });
  rates.shareOf = () => permits.share("model");
  rates.applyUpdate({ replica: "r", perS: 2, endedAgoMs: undefined }, 0);
  return permits;
};

describe("the share in what a replica takes", () => {
  it("is all of it for the holder", () => {
    const share = permitsOf([link("model", HOLDER, 60)]).share("model");
    expect(share).to.eql({ fraction: 1, isAllocator: true });
  });

  it("is that of the entries left, where its lease is not fresh", () => {
    const permits = permitsOf([link("model", STALE, 60)], 15);
    expect(permits.share("model")).to.eql({
      fraction: 0.25,
      isAllocator: true,
    });
  });

  it("is a small part for all others, and for who knows no holder", () => {
    const known = permitsOf([link("model", OTHER, 50)]).share("model");
    expect(known).to.eql({ fraction: 0.01, isAllocator: false });
    const unknown = permitsOf([]).share("model");
    // Sixty that all start without a holder stay within the rate.
    expect(unknown.isAllocator).to.equal(false);
    expect(unknown.fraction * 60).to.be.at.most(0.5);
  });

  it("of a plain service is with the first service's holder", () => {
    const links = [link("b", OTHER, 50), link("a", HOLDER, 60)];
    const permits = permitsOf(links);
    expect(permits.share("plain").isAllocator).to.equal(true);
    expect(permits.share("b").isAllocator).to.equal(false);
  });
});

describe("a permit for one request", () => {
  const clientThat = (answers: "acquired" | "nothing") =>
    ({
      requestPermit: async () =>
        answers === "acquired" ? { kind: "acquired" } : undefined,
    }) as unknown as PlacementClient;

  it("is the holder's to give", async () => {
    const other = link("model", OTHER, 50);
    other.client = clientThat("acquired");
    const answer = await permitsOf([other]).acquire("model", "r");
    expect(answer.kind).to.equal("acquired");
  });

  it("comes out of one's own part where the holder says nothing", async () => {
    const other = link("model", OTHER, 50);
    other.client = clientThat("nothing");
    const answer = await permitsOf([other]).acquire("model", "r");
    expect(answer.kind).to.equal("held-back");
  });
});

describe("the number of entries", () => {
  it("stands while a new holder counts from one on", () => {
    const counted = link("model", OTHER, 60);
    counted.recordEntryCount(1, 1000);
    counted.recordEntryCount(12, 2000);
    expect(counted.entryCount).to.equal(60);
  });

  it("falls after a while", () => {
    const counted = link("model", OTHER, 60);
    counted.recordEntryCount(12, 30_001);
    expect(counted.entryCount).to.equal(12);
  });

  it("is unknown until somebody has counted, and one at least", () => {
    expect(link("model", OTHER).entryCount).to.equal(undefined);
    expect(link("model", OTHER, 0).entryCount).to.equal(1);
  });
});
