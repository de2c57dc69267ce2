/** What is made of signals of replicas. Times are ms. */
import { expect } from "chai";

import { ReplicaSet } from "../../src/gateway/replicaSet.js";
import type { Replica } from "../../src/gateway/index.js";
import {
  MAX_SIGNAL_MS,
  UNPROVEN_LEAVING_MS,
  Availability,
} from "../../src/gateway/availability.js";

const NO_SIGNAL = { isLeaving: false, backOffMs: undefined };
const LEAVES = { isLeaving: true, backOffMs: undefined };
const backOff = (backOffMs: number) => ({ isLeaving: false, backOffMs });

const replica = (name: string, more: Partial<Replica> = {}): Replica => ({
  id: name,
  name,
  startedAt: undefined,
  service: "plain",
  address: `10.0.0.1:${name.length}${name.charCodeAt(0)}`,
  domain: "domain-1",
  slots: 1,
  state: "ready",
  stage: undefined,
  ...more,
});

describe("a replica's signal", () => {
  describe("that it leaves", () => {
    it("counts on, also where an answer lacks it, for an hour", () => {
      const signals = new Availability();
      expect(signals.record("a", LEAVES, true, 5)).to.equal("leaving");
      expect(signals.record("a", NO_SIGNAL, true, 6)).to.equal(undefined);
      expect(signals.record("a", LEAVES, true, 7)).to.equal(undefined);
      const last = MAX_SIGNAL_MS + 6;
      expect(signals.refusal("a", last)).to.deep.equal({ kind: "leaving" });
    });

    it("counts for a short time where the answer is another's", () => {
      const signals = new Availability();
      signals.record("a", LEAVES, false, 0);
      expect(signals.refusal("a", UNPROVEN_LEAVING_MS - 1)?.kind).to.equal(
        "leaving",
      );
      expect(signals.refusal("a", UNPROVEN_LEAVING_MS)).to.equal(undefined);
    });

    it("counts as long as any once an answer of its own has said it too", () => {
      const signals = new Availability();
      signals.record("a", LEAVES, false, 0);
      signals.record("a", LEAVES, true, 1);
      expect(signals.refusal("a", MAX_SIGNAL_MS)?.kind).to.equal("leaving");
    });
  });

  describe("that it wants callers to back off", () => {
    const signals = () => {
      const fresh = new Availability();
      fresh.record("a", backOff(100), true, 0);
      return fresh;
    };

    it("counts for that time", () => {
      const busy = { kind: "backing-off", untilMs: 100 };
      expect(signals().refusal("a", 99.9)).to.deep.equal(busy);
      expect(signals().refusal("a", 100)).to.equal(undefined);
    });

    for (const [what, signal] of [
      ["another", backOff(100)],
      ["a shorter one", backOff(1)],
    ] as const) {
      it(`is not shortened by ${what} within it`, () => {
        const fresh = signals();
        expect(fresh.record("a", signal, true, 50)).to.equal(undefined);
        expect(fresh.refusal("a", 99)?.kind).to.equal("backing-off");
      });
    }

    it("is prolonged by another within it", () => {
      const fresh = signals();
      fresh.record("a", backOff(100), true, 50);
      expect(fresh.refusal("a", 149)?.kind).to.equal("backing-off");
    });

    it("is not ended by an answer to what was under way", () => {
      const fresh = signals();
      fresh.record("a", NO_SIGNAL, true, 50);
      expect(fresh.refusal("a", 51)?.kind).to.equal("backing-off");
      expect(fresh.refusalAtSend("a", 100)).to.equal(undefined);
      expect(fresh.refusalAtSend("a", 101)?.kind).to.equal("backing-off");
    });

    it("of no time is none", () => {
      expect(new Availability().record("a", backOff(0), true, 0)).to.equal(
        undefined,
      );
    });

    it("lasts no longer than the longest that is believed", () => {
      const fresh = new Availability();
      fresh.record("a", backOff(Infinity), true, 0);
      expect(fresh.refusal("a", MAX_SIGNAL_MS - 1)?.kind).to.equal(
        "backing-off",
      );
      expect(fresh.refusal("a", MAX_SIGNAL_MS)).to.equal(undefined);
    });

    it("counts in full where the answer is another's: it ends by itself", () => {
      const fresh = new Availability();
      fresh.record("a", backOff(60_000), false, 0);
      expect(fresh.refusal("a", 59_999)?.kind).to.equal("backing-off");
    });

    it("ends with one send, and all others once that is answered", () => {
      const fresh = signals();
      expect(fresh.refusalAtSend("a", 100)).to.equal(undefined);
      expect(fresh.refusalAtSend("a", 101)?.kind).to.equal("backing-off");
      expect(fresh.unavailableReplicas(101)).to.have.length(1);
      fresh.record("a", NO_SIGNAL, true, 110);
      expect(fresh.refusalAtSend("a", 111)).to.equal(undefined);
      expect(fresh.refusalAtSend("a", 111)).to.equal(undefined);
      expect(fresh.unavailableReplicas(111)).to.deep.equal([]);
    });

    it("ends with one send after the other while none is answered", () => {
      const fresh = signals();
      const taken: number[] = [];
      for (let at = 0; at < 3000; at += 1) {
        if (fresh.refusalAtSend("a", at) === undefined) taken.push(at);
      }
      expect(taken).to.deep.equal([100, 1100, 2100]);
    });
  });

  it("is forgotten with the oldest of many lives", () => {
    const signals = new Availability();
    for (let life = 0; life < 20_000; life += 1) {
      signals.record(`life-${life}`, backOff(1e6), true, 0);
    }
    expect(signals.unavailableReplicas(1).length).to.be.at.most(10_000);
    expect(signals.refusal("life-19999", 1)?.kind).to.equal("backing-off");
  });
});

describe("replicas that have sent signals", () => {
  const put = (replicas: ReplicaSet, ...items: Replica[]) => {
    for (const item of items) replicas.put(item);
  };
  const names = (replicas: ReplicaSet, now: number) =>
    replicas.usable("plain", now).map(({ name }) => name);

  it("are left out, whatever the list says of them afterwards", () => {
    const replicas = new ReplicaSet();
    put(replicas, replica("a"), replica("b"));
    replicas.signals.record("a", LEAVES, true, 0);
    expect(names(replicas, 1)).to.deep.equal(["b"]);
    replicas.put(replica("a"), 9);
    expect(names(replicas, 2)).to.deep.equal(["b"]);
    replicas.replace([{ replica: replica("b") }], 3, false);
    put(replicas, replica("a"));
    expect(names(replicas, 4)).to.deep.equal(["b"]);
    expect(replicas.signals.refusal("a", 4)).to.be.a("string");
  });

  it("are left out where the list has said it and takes it back", () => {
    const replicas = new ReplicaSet();
    put(replicas, replica("a", { state: "draining" }));
    put(replicas, replica("a"), replica("b"));
    expect(names(replicas, 1)).to.deep.equal(["b"]);
    expect(replicas.signals.unavailableIds("plain", 1)).to.deep.equal(["a"]);
  });

  it("are used in their next life, and others at their address", () => {
    const replicas = new ReplicaSet();
    put(replicas, replica("a", { id: "a@1", startedAt: 1 }));
    replicas.signals.record("a@1", LEAVES, true, 0);
    expect(names(replicas, 1)).to.deep.equal([]);
    put(replicas, replica("a", { id: "a@2", startedAt: 2 }));
    expect(names(replicas, 1)).to.deep.equal(["a"]);
    const { address } = replica("a");
    put(replicas, replica("next", { address }));
    expect(replicas.signals.refusal("next", 1)).to.equal(undefined);
  });

  it("that they leave are used for a short time where there is no other", () => {
    const replicas = new ReplicaSet(1000);
    put(replicas, replica("a"), replica("b"));
    replicas.signals.record("a", LEAVES, true, 0);
    expect(names(replicas, 10)).to.deep.equal(["b"]);
    replicas.signals.record("b", LEAVES, true, 500);
    expect(names(replicas, 999)).to.deep.equal(["a", "b"]);
    expect(replicas.usableUntil(999)).to.equal(1000);
    expect(names(replicas, 1000)).to.deep.equal(["b"]);
    expect(names(replicas, 1500)).to.deep.equal([]);
    expect(replicas.signals.refusal("b", 1500)).to.be.a("string");
  });

  it("that they want callers to back off tell when the first may be used", () => {
    const replicas = new ReplicaSet();
    put(replicas, replica("a"), replica("b"), replica("c", { service: "s" }));
    replicas.signals.record("a", backOff(300), true, 0);
    expect(replicas.signals.untilAvailableMs("plain", 0)).to.equal(0);
    replicas.signals.record("b", backOff(200), true, 0);
    expect(replicas.signals.untilAvailableMs("plain", 50)).to.equal(150);
    expect(replicas.signals.untilAvailableMs("s", 50)).to.equal(0);
    expect(replicas.signals.unavailableIds("plain", 50)).to.deep.equal([
      "a",
      "b",
    ]);
  });
});
