/** Effect of signals in replicas' responses on their availability. Times are ms. */
import { expect } from "chai";

import { ReplicaSet } from "../../src/gateway/replicaSet.js";
import type { Replica } from "../../src/gateway/index.js";
import {
  MAX_SIGNAL_MS,
  UNPROVEN_LEAVING_MS,
  Availability,
} from "../../src/gateway/availability.js";
import { STABLE } from "../support/stability.js";

const NO_SIGNAL = { isLeaving: false, backOffMs: undefined };
const LEAVING = { isLeaving: true, backOffMs: undefined };
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

describe("availability signals of a replica", () => {
  describe("leaving signal", () => {
    it("stays in effect for an hour, even if later responses lack it", () => {
      const availability = new Availability();
      expect(availability.record("a", LEAVING, true, 5)).to.equal("leaving");
      expect(availability.record("a", NO_SIGNAL, true, 6)).to.equal(undefined);
      expect(availability.record("a", LEAVING, true, 7)).to.equal(undefined);
      const last = MAX_SIGNAL_MS + 6;
      expect(availability.refusal("a", last)).to.deep.equal({
        kind: "leaving",
      });
    });

    it("stays in effect only briefly if the response carries another request's id", () => {
      const availability = new Availability();
      availability.record("a", LEAVING, false, 0);
      expect(availability.refusal("a", UNPROVEN_LEAVING_MS - 1)?.kind).to.equal(
        "leaving",
      );
      expect(availability.refusal("a", UNPROVEN_LEAVING_MS)).to.equal(
        undefined,
      );
    });

    it("stays in effect for the full time once a proven response repeats it", () => {
      const availability = new Availability();
      availability.record("a", LEAVING, false, 0);
      availability.record("a", LEAVING, true, 1);
      expect(availability.refusal("a", MAX_SIGNAL_MS)?.kind).to.equal(
        "leaving",
      );
    });
  });

  describe("back-off signal", () => {
    const backingOff = () => {
      const availability = new Availability();
      availability.record("a", backOff(100), true, 0);
      return availability;
    };

    it("stays in effect for the requested time", () => {
      const busy = { kind: "backing-off", untilMs: 100 };
      expect(backingOff().refusal("a", 99.9)).to.deep.equal(busy);
      expect(backingOff().refusal("a", 100)).to.equal(undefined);
    });

    for (const [what, signal] of [
      ["one of equal length", backOff(100)],
      ["a shorter one", backOff(1)],
    ] as const) {
      it(`is not shortened by ${what} received during it`, () => {
        const availability = backingOff();
        expect(availability.record("a", signal, true, 50)).to.equal(undefined);
        expect(availability.refusal("a", 99)?.kind).to.equal("backing-off");
      });
    }

    it("is extended by one received during it that ends later", () => {
      const availability = backingOff();
      availability.record("a", backOff(100), true, 50);
      expect(availability.refusal("a", 149)?.kind).to.equal("backing-off");
    });

    it("is not ended by the response to a request already in flight", () => {
      const availability = backingOff();
      availability.record("a", NO_SIGNAL, true, 50);
      expect(availability.refusal("a", 51)?.kind).to.equal("backing-off");
      expect(availability.refusalAtSend("a", 100)).to.equal(undefined);
      expect(availability.refusalAtSend("a", 101)?.kind).to.equal(
        "backing-off",
      );
    });

    it("is ignored if its duration is zero", () => {
      expect(new Availability().record("a", backOff(0), true, 0)).to.equal(
        undefined,
      );
    });

    it("is capped at the maximum signal duration", () => {
      const availability = new Availability();
      availability.record("a", backOff(Infinity), true, 0);
      expect(availability.refusal("a", MAX_SIGNAL_MS - 1)?.kind).to.equal(
        "backing-off",
      );
      expect(availability.refusal("a", MAX_SIGNAL_MS)).to.equal(undefined);
    });

    it("stays in effect in full if the response carries another request's id, as it ends by itself", () => {
      const availability = new Availability();
      availability.record("a", backOff(60_000), false, 0);
      expect(availability.refusal("a", 59_999)?.kind).to.equal("backing-off");
    });

    it("admits a single probe, and all requests once the probe is answered", () => {
      const availability = backingOff();
      expect(availability.refusalAtSend("a", 100)).to.equal(undefined);
      expect(availability.refusalAtSend("a", 101)?.kind).to.equal(
        "backing-off",
      );
      expect(availability.unavailableReplicas(101)).to.have.length(1);
      availability.record("a", NO_SIGNAL, true, 110);
      expect(availability.refusalAtSend("a", 111)).to.equal(undefined);
      expect(availability.refusalAtSend("a", 111)).to.equal(undefined);
      expect(availability.unavailableReplicas(111)).to.deep.equal([]);
    });

    it("admits one probe per probe timeout while none is answered", () => {
      const availability = backingOff();
      const sentAt: number[] = [];
      for (let at = 0; at < 3000; at += 1) {
        if (availability.refusalAtSend("a", at) === undefined) sentAt.push(at);
      }
      expect(sentAt).to.deep.equal([100, 1100, 2100]);
    });
  });

  it("is dropped for the oldest when there are many incarnations", () => {
    const availability = new Availability();
    for (let index = 0; index < 20_000; index += 1) {
      availability.record(`life-${index}`, backOff(1e6), true, 0);
    }
    expect(availability.unavailableReplicas(1).length).to.be.at.most(10_000);
    expect(availability.refusal("life-19999", 1)?.kind).to.equal("backing-off");
  });
});

describe("replicas that have sent availability signals", () => {
  const put = (replicas: ReplicaSet, ...items: Replica[]) => {
    for (const item of items) replicas.put(item);
  };
  const usableNames = (replicas: ReplicaSet, now: number) =>
    replicas.usable("plain", now).map(({ name }) => name);

  it("stay excluded, whatever the replica list says of them afterwards", () => {
    const replicas = new ReplicaSet();
    put(replicas, replica("a"), replica("b"));
    replicas.signals.record("a", LEAVING, true, 0);
    expect(usableNames(replicas, 1)).to.deep.equal(["b"]);
    replicas.put(replica("a"), 9);
    expect(usableNames(replicas, 2)).to.deep.equal(["b"]);
    replicas.replace([{ replica: replica("b") }], 3, STABLE);
    put(replicas, replica("a"));
    expect(usableNames(replicas, 4)).to.deep.equal(["b"]);
    expect(replicas.signals.refusal("a", 4)).to.be.a("string");
  });

  it("stay excluded if the replica list reports them draining and then ready", () => {
    const replicas = new ReplicaSet();
    put(replicas, replica("a", { state: "draining" }));
    put(replicas, replica("a"), replica("b"));
    expect(usableNames(replicas, 1)).to.deep.equal(["b"]);
    expect(replicas.signals.unavailableIds("plain", 1)).to.deep.equal(["a"]);
  });

  it("do not exclude their next incarnation or another replica at their address", () => {
    const replicas = new ReplicaSet();
    put(replicas, replica("a", { id: "a@1", startedAt: 1 }));
    replicas.signals.record("a@1", LEAVING, true, 0);
    expect(usableNames(replicas, 1)).to.deep.equal([]);
    put(replicas, replica("a", { id: "a@2", startedAt: 2 }));
    expect(usableNames(replicas, 1)).to.deep.equal(["a"]);
    const { address } = replica("a");
    put(replicas, replica("next", { address }));
    expect(replicas.signals.refusal("next", 1)).to.equal(undefined);
  });

  it("are used briefly while leaving if there is no other replica", () => {
    const replicas = new ReplicaSet({ lastResortMs: 1000 });
    put(replicas, replica("a"), replica("b"));
    replicas.signals.record("a", LEAVING, true, 0);
    expect(usableNames(replicas, 10)).to.deep.equal(["b"]);
    replicas.signals.record("b", LEAVING, true, 500);
    expect(usableNames(replicas, 999)).to.deep.equal(["a", "b"]);
    expect(replicas.usableUntil(999)).to.equal(1000);
    expect(usableNames(replicas, 1000)).to.deep.equal(["b"]);
    expect(usableNames(replicas, 1500)).to.deep.equal([]);
    expect(replicas.signals.refusal("b", 1500)).to.be.a("string");
  });

  it("report the time until the first one that backs off may be used", () => {
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
