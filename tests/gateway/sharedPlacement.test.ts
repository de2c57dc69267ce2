/** Shares at the lease holder's own entry and at another one, on loopback. */
import { expect } from "chai";

import { LocalPlacement, SharedPlacement } from "../../src/placement/index.js";
import type { PlacementServer } from "../../src/placement/index.js";
import { NO_LIMITS, RateLimits } from "../../src/rateLimits/index.js";
import type { FeedItem, ObjectFeed } from "../../src/store/index.js";
import { StatsdMetrics } from "../../src/telemetry/index.js";
import {
  newLocal,
  newServer,
  newStreamVersions,
  now,
  placementRequest,
  SERVICE,
  SILENT_LOG,
} from "../support/placementPeers.js";
import { until } from "../support/until.js";

const FLOW = { route: "lookup", workspace: "", priority: 0 };
const silent = () => undefined;

/** A store that holds the lease only. */
const newFeed = (): ObjectFeed => {
  let item: FeedItem | undefined;
  const unused = () => Promise.reject(new Error("not used"));
  return {
    list: async () => ({ items: item ? [item] : [], revision: 1 }),
    changes: unused,
    writeStatus: unused,
    write: async (_kind, name, value, expected) => {
      if ((item?.revision ?? 0) !== expected)
        return { kind: "conflict", current: item };
      item = { name, value, revision: expected + 1 };
      return { kind: "written", item };
    },
  };
};

describe("shares in force", () => {
  let server: PlacementServer;
  let holder: SharedPlacement;
  let entry: SharedPlacement;
  let metrics: StatsdMetrics;
  let steps: NodeJS.Timeout;
  let counted: number;
  let feed: ObjectFeed;
  let replaced: string[];

  const newShared = (
    self: string,
    local: LocalPlacement,
    feed: ObjectFeed,
    address: string,
  ): SharedPlacement =>
    new SharedPlacement({
      local,
      rates: new RateLimits(() => 0),
      feed,
      self,
      address: () => address,
      leaseMs: 1500,
      acquireDelayMs: 0,
      capacity: 1000,
      isStandby: false,
      connectedEntries: () => 2,
      onHolderConnected: silent,
      onHolderReplaced: (service, { address, epoch }) =>
        void replaced.push(`${self} ${service} ${address} ${epoch}`),
      onConfig: silent,
      readReplicas: () => Promise.resolve(false),
      onHolderNews: silent,
      log: SILENT_LOG,
      metrics,
      rng: () => 0,
      now,
      leaseNow: now,
    });
  const causeAt = async (placement: SharedPlacement): Promise<string> => {
    const answer = await placement.place(placementRequest(`${now()}`));
    return answer.kind === "refused" ? answer.why : answer.kind;
  };

  beforeEach(async () => {
    metrics = new StatsdMetrics(undefined);
    counted = 0;
    replaced = [];
    const local = newLocal([]);
    local.scheduler(SERVICE).shares = () => [{ flow: FLOW, admit: 0 }];
    local.scheduler(SERVICE).recordRefusedElsewhere = ({ requests }) =>
      void (counted += requests);
    server = newServer(local, {
      isHolder: (service) => holder.isHolder(service),
      leaseVersion: (service) => holder.leaseVersion(service),
    });
    const address = await server.listen("127.0.0.1:0");
    feed = newFeed();
    holder = newShared("holder", local, feed, address);
    entry = newShared("entry", newLocal([]), feed, "127.0.0.1:1");
    while (!holder.isHolder(SERVICE)) await holder.step([SERVICE]);
    steps = setInterval(() => void entry.step([SERVICE]), 20);
  });
  afterEach(() => {
    clearInterval(steps);
    entry.close();
    holder.close();
    server.close();
  });

  it("limit the lease holder's own requests and count them", async () => {
    expect(await causeAt(holder)).to.equal("over-share");
    expect(counted).to.equal(1);
    expect(metrics.counters()["over_share.lookup"]).to.equal(1);
  });

  it("lapse 500 ms after the lease holder is lost", async () => {
    while ((await causeAt(entry)) !== "over-share")
      await new Promise((resolve) => setTimeout(resolve, 10));
    server.close();
    const lostAt = now();
    clearInterval(steps);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(await causeAt(entry)).to.equal("over-share");
    await until(async () => (await causeAt(entry)) !== "over-share");
    expect(now() - lostAt).to.be.within(350, 800);
  });

  // Those that cannot read the lease would place alone otherwise.
  it("end with the lease, and the holder reports who took it", async () => {
    const address = "127.0.0.1:2";
    const lease = { holder: "other", epoch: 7, beat: 0, address };
    const { items } = await feed.list("leases");
    await feed.write("leases", SERVICE, lease, items[0]!.revision);
    while (holder.isHolder(SERVICE)) {
      await holder.step([SERVICE]);
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    expect(replaced).to.include(`holder ${SERVICE} ${address} 7`);
  });

  it("are counted where the scheduler refuses by them", async () => {
    const local = new LocalPlacement({
      engines: () => [],
      sharingProcesses: () => 1,
      streams: newStreamVersions(),
      mayBeTold: () => false,
      permits: NO_LIMITS,
      metrics,
      log: SILENT_LOG,
      now,
    });
    const why = "over-share";
    const refusal = { kind: "refused", why, retryAfterMs: 1 } as const;
    local.scheduler(SERVICE).place = () => refusal;
    await local.place(placementRequest("one"));
    expect(metrics.counters()[`scheduler_over_share.${SERVICE}`]).to.equal(1);
  });
});
