/** Reads of the replica list beside the watch that follows it. */
import { expect } from "chai";

import { ListFreshness } from "../../src/gateway/listFreshness.js";
import { ReplicaListReader } from "../../src/gateway/replicaListReader.js";
import type { Replica } from "../../src/gateway/types.js";
import type {
  FeedChanges,
  FeedItem,
  FeedList,
  ObjectFeed,
} from "../../src/store/index.js";
import { SILENT_LOG } from "../support/placementPeers.js";

const unused = () => Promise.reject(new Error("unused"));

const itemOf = (name: string, softwareVersion: string): FeedItem => ({
  name,
  revision: 2,
  value: { id: name, name, service: "model", softwareVersion },
});

describe("a read of the replica list", () => {
  let listed: string[];
  let calls: string[];
  let position: number | undefined;
  let onList: () => Promise<FeedList>;
  let onChanges: () => Promise<FeedChanges>;
  let reader: ReplicaListReader;

  beforeEach(() => {
    listed = [];
    calls = [];
    position = 1;
    onList = async () => ({ items: [itemOf("a", "v1")], revision: 3 });
    onChanges = async () => ({ kind: "changes", changes: [], revision: 3 });
    const feed: ObjectFeed = {
      list: () => {
        calls.push("list");
        return onList();
      },
      changes: () => {
        calls.push("changes");
        return onChanges();
      },
      write: unused,
      writeStatus: unused,
    };
    reader = new ReplicaListReader({
      feed,
      source: {
        replicaKind: "replicas",
        decodeReplica: (_name, value) => {
          if (value === null) throw new Error("odd");
          return value as Replica;
        },
      },
      position: () => position,
      onListed: (service, version) => listed.push(`${service} ${version}`),
      log: SILENT_LOG,
    });
  });

  it("names the versions of those that are listed, and of those that were since", async () => {
    onChanges = async () => ({
      kind: "changes",
      changes: [
        { item: itemOf("b", "v2"), isRemoved: false },
        { item: itemOf("b", "v2"), isRemoved: true },
      ],
      revision: 3,
    });
    expect(await reader.read()).to.equal(true);
    expect(listed).to.eql(["model v2", "model v2", "model v1"]);
  });

  it("leaves out an entry that can't be decoded", async () => {
    const odd = { name: "odd", revision: 2, value: null };
    onList = async () => ({ items: [odd, itemOf("a", "v1")], revision: 3 });
    expect(await reader.read()).to.equal(true);
    expect(listed).to.eql(["model v1"]);
  });

  it("fails if the store does not answer, and succeeds later", async () => {
    onList = unused;
    expect(await reader.read()).to.equal(false);
    onList = async () => ({ items: [], revision: 3 });
    expect(await reader.read()).to.equal(true);
  });

  it("fails if the store has forgotten changes, or no list is known", async () => {
    onChanges = async () => ({ kind: "history-gone" });
    expect(await reader.read()).to.equal(false);
    position = undefined;
    expect(await reader.read()).to.equal(false);
    expect(calls).to.eql(["changes"]);
  });

  it("is shared by those who ask during the read before it, not earlier", async () => {
    const first = reader.read();
    const later = [reader.read(), reader.read()];
    expect(await Promise.all([first, ...later])).to.eql([true, true, true]);
    expect(calls).to.eql(["changes", "list", "changes", "list"]);
    await reader.read();
    expect(calls).to.have.length(6);
  });
});

describe("how long the replica list has been followed", () => {
  const answer = { sentAt: 0, answeredAt: 0, waitMs: 0, hasChanges: true };

  it("counts from the last list that was read, not from changes", () => {
    let now = 100;
    const list = new ListFreshness(() => now);
    expect([list.watchedMs, list.ageMs]).to.eql([0, Infinity]);
    list.onAnswer({ ...answer, sentAt: 90, answeredAt: 95, isList: true });
    expect([list.watchedMs, list.ageMs]).to.eql([10, 10]);
    now = 5000;
    list.onAnswer({ ...answer, sentAt: 4000, answeredAt: 4500 });
    // Watches may be told of changes a second late.
    expect([list.watchedMs, list.ageMs]).to.eql([4910, 2000]);
    list.onAnswer({ ...answer, sentAt: 4800, answeredAt: 4900, isList: true });
    expect([list.watchedMs, list.ageMs]).to.eql([200, 200]);
    list.onStale();
    expect(list.watchedMs).to.equal(0);
  });
});
