/** Each process's share of a replica's rate limit, by the state of the lease holder. */
import { expect } from "chai";

import { EntryAdmission } from "../../src/placement/entryAdmission.js";
import { HolderConnection } from "../../src/placement/holderConnection.js";
import type { LeaseKeeper } from "../../src/placement/leaseKeeper.js";
import type { PlacementClient } from "../../src/placement/placementClient.js";
import { RatePermits } from "../../src/placement/ratePermits.js";
import { RateLimits } from "../../src/rateLimits/index.js";
import type { RateNews } from "../../src/rateLimits/index.js";

const connection = (
  service: string,
  lease: { isHolder: boolean; isFresh: boolean },
  entries?: number,
): HolderConnection => {
  const created = new HolderConnection(
    service,
    lease as LeaseKeeper,
    new EntryAdmission(() => 0.5),
  );
  if (entries !== undefined) created.recordEntryCount(entries, 0);
  return created;
};

const FRESH_HOLDER = { isHolder: true, isFresh: true };
const STALE_HOLDER = { isHolder: true, isFresh: false };
const NOT_HOLDER = { isHolder: false, isFresh: false };

const NEWS: RateNews = {
  replica: "r",
  perS: 2,
  endedAgoMs: undefined,
  reportedAgoMs: 0,
};

const permitsOf = (connections: HolderConnection[], here = 60): RatePermits => {
  const rates = new RateLimits(() => 0.5);
  const permits = new RatePermits({
    rates,
    connections: new Map(connections.map((item) => [item.service, item])),
    connectedEntries: () => here,
    now: () => 0,
  });
  rates.shareOf = () => permits.share("model");
  rates.applyUpdate(NEWS, 0);
  return permits;
};

describe("the share of a replica's rate limit", () => {
  it("is all of it for the lease holder", () => {
    const share = permitsOf([connection("model", FRESH_HOLDER, 60)]).share(
      "model",
    );
    expect(share).to.eql({ fraction: 1, isAllocator: true });
  });

  it("is the connected fraction of the entries when the holder's lease is not fresh", () => {
    const permits = permitsOf([connection("model", STALE_HOLDER, 60)], 15);
    expect(permits.share("model")).to.eql({
      fraction: 0.25,
      isAllocator: true,
    });
  });

  it("is a small fraction for all others, and where no holder is known", () => {
    const known = permitsOf([connection("model", NOT_HOLDER, 50)]).share(
      "model",
    );
    expect(known).to.eql({ fraction: 0.01, isAllocator: false });
    const unknown = permitsOf([]).share("model");
    // Sixty entries that all start without a holder stay within the limit.
    expect(unknown.isAllocator).to.equal(false);
    expect(unknown.fraction * 60).to.be.at.most(0.5);
  });

  it("of a plain service belongs to the holder of the first model service", () => {
    const connections = [
      connection("b", NOT_HOLDER, 50),
      connection("a", FRESH_HOLDER, 60),
    ];
    const permits = permitsOf(connections);
    expect(permits.share("plain").isAllocator).to.equal(true);
    expect(permits.share("b").isAllocator).to.equal(false);
  });
});

describe("a permit for one request", () => {
  const clientAnswering = (answers: "acquired" | "nothing") =>
    ({
      requestPermit: async () =>
        answers === "acquired" ? { kind: "acquired" } : undefined,
    }) as unknown as PlacementClient;

  it("is granted by the holder", async () => {
    const other = connection("model", NOT_HOLDER, 50);
    other.client = clientAnswering("acquired");
    const answer = await permitsOf([other]).acquire("model", "r");
    expect(answer.kind).to.equal("acquired");
  });

  it("comes from the process's own share when the holder does not answer", async () => {
    const other = connection("model", NOT_HOLDER, 50);
    other.client = clientAnswering("nothing");
    const answer = await permitsOf([other]).acquire("model", "r");
    expect(answer.kind).to.equal("held-back");
  });
});

describe("an old rate limit from the holder", () => {
  it("is answered with the newer one, which an entry would not report again", () => {
    const sent: RateNews[] = [];
    const other = connection("model", NOT_HOLDER, 50);
    const client = {
      sendRates: (news: RateNews[]) => void sent.push(...news),
    };
    other.client = client as unknown as PlacementClient;
    const permits = permitsOf([other]);
    permits.applyFromAllocator("model", [
      { ...NEWS, perS: 12, reportedAgoMs: 500 },
      { ...NEWS, replica: "unknown" },
      NEWS,
    ]);
    expect(sent).to.eql([NEWS]);
  });
});

describe("the number of entries", () => {
  it("does not fall while a new holder starts its count from one", () => {
    const holderConnection = connection("model", NOT_HOLDER, 60);
    holderConnection.recordEntryCount(1, 1000);
    holderConnection.recordEntryCount(12, 2000);
    expect(holderConnection.entryCount).to.equal(60);
  });

  it("falls to a smaller count after 30 seconds", () => {
    const holderConnection = connection("model", NOT_HOLDER, 60);
    holderConnection.recordEntryCount(12, 30_001);
    expect(holderConnection.entryCount).to.equal(12);
  });

  it("is unknown until it is first counted, and at least one from then on", () => {
    expect(connection("model", NOT_HOLDER).entryCount).to.equal(undefined);
    expect(connection("model", NOT_HOLDER, 0).entryCount).to.equal(1);
  });
});
