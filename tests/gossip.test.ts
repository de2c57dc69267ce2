import { expect } from "chai";

import { ConfigKeeper } from "../src/config/index.js";
import { Membership } from "../src/membership/index.js";
import { Gossip } from "../src/peers/index.js";
import { seededRng } from "../src/shared/rng.js";
import { MemoryStore } from "./support/memoryStore.js";
import { SILENT_LOG } from "./support/silentLog.js";

const SIZE = 12;
const ROUND_MS = 1000;
/** Rounds after which no member sends a rumour any more. */
const SPENT_ROUNDS = 50;

/** Processes that talk directly, in two halves that can be parted. */
const startNet = () => {
  const clock = { now: 0 };
  const net = { isParted: false };
  const all = new Map<string, Gossip>();
  const members: Membership[] = [];
  const half = (address: string) => Number(address) % 2;
  const seeds = Array.from({ length: SIZE }, (_item, at) => String(at));
  for (const address of seeds) {
    const membership = new Membership({
      id: `m${address}`,
      kind: "side",
      state: "alive",
      incarnation: 1,
      peerAddress: address,
      domain: "d",
      role: "",
    });
    members.push(membership);
    const reach = (to: string): Gossip => {
      const isCut = net.isParted && half(to) !== half(address);
      if (isCut) throw new Error("parted");
      return all.get(to) as Gossip;
    };
    const gossip = new Gossip({
      membership,
      keeper: new ConfigKeeper(new MemoryStore()),
      link: {
        exchange: async (to, digest) => reach(to).exchange(digest),
        fetchConfig: async (to, request) => reach(to).fetchConfig(request),
        fetchMembers: async (to) => reach(to).fetchMembers(),
      },
      log: SILENT_LOG,
      rng: seededRng(Number(address) + 1),
      now: () => clock.now,
      fanout: 2,
      seeds,
    });
    all.set(address, gossip);
  }
  const round = async () => {
    clock.now += ROUND_MS;
    for (const gossip of all.values()) await gossip.round();
  };
  const counts = (state: string) =>
    members.map(
      (one) => one.all().filter((item) => item.state === state).length,
    );
  return { net, round, counts };
};

describe("gossip", () => {
  let { net, round, counts } = startNet();

  beforeEach(() => ({ net, round, counts } = startNet()));

  const everywhere = (state: string, count: number) =>
    counts(state).every((item) => item === count);
  const roundsUntil = async (state: string, count: number) => {
    for (let rounds = 0; rounds < 400; rounds += 1) {
      if (everywhere(state, count)) return;
      await round();
    }
    expect(counts(state), `${state} everywhere`).to.deep.equal([]);
  };

  it("parted halves hold each other for gone, and find back", async () => {
    await roundsUntil("alive", SIZE);
    net.isParted = true;
    await roundsUntil("gone", SIZE / 2);
    net.isParted = false;
    await roundsUntil("alive", SIZE);
  });

  // Guards against groups that stay strangers, their rumours being spent.
  it("groups that begin apart find each other", async () => {
    net.isParted = true;
    await roundsUntil("alive", SIZE / 2);
    for (let rounds = 0; rounds < SPENT_ROUNDS; rounds += 1) await round();
    net.isParted = false;
    await roundsUntil("alive", SIZE);
  });
});
