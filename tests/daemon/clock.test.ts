/** The clock of leases: what counts as a suspension of the machine. */
import { expect } from "chai";

import { newLeaseClock } from "../../src/daemon/clock.js";
import {
  ConfigFreshness,
  provenAt,
} from "../../src/workspaces/configFreshness.js";

const setUp = () => {
  const machine = { steady: 1000, wall: 1_700_000_000_000 };
  const now = newLeaseClock(
    () => machine.steady,
    () => machine.wall,
  );
  const go = (ms: number): void => {
    machine.steady += ms;
    machine.wall += ms;
  };
  return { machine, now, go };
};

describe("the clock of leases", () => {
  it("goes on by the steady clock", () => {
    const { now, go } = setUp();
    const begun = now();
    go(1234);
    expect(now() - begun).to.equal(1234);
  });

  it("counts a suspension, which the steady clock does not", () => {
    const { machine, now, go } = setUp();
    const begun = now();
    go(10);
    machine.wall += 3000;
    expect(now() - begun).to.equal(3010);
    go(10);
    expect(now() - begun).to.equal(3020);
  });

  it("is not turned back by a time of day that is set back", () => {
    const { machine, now, go } = setUp();
    const begun = now();
    machine.wall -= 5000;
    go(10);
    expect(now() - begun).to.equal(10);
    machine.wall += 3000;
    expect(now() - begun).to.equal(3010);
  });

  it("does not gather small corrections of the time of day", () => {
    const { machine, now, go } = setUp();
    const begun = now();
    for (let at = 0; at < 1000; at += 1) {
      go(10);
      machine.wall += 1;
      now();
    }
    expect(now() - begun).to.equal(10_000);
  });

  it("does not take a pause between its two reads for one", () => {
    const machine = { steady: 0, wall: 0, pauses: 2 };
    const now = newLeaseClock(
      () => machine.steady,
      () => {
        if (machine.pauses > 0) {
          machine.pauses -= 1;
          machine.steady += 400;
          machine.wall += 400;
        }
        return machine.wall;
      },
    );
    const begun = now();
    machine.pauses = 1;
    expect(now() - begun).to.equal(400);
    expect(now() - begun).to.equal(400);
  });

  it("ages the proof of a configuration by a suspension", () => {
    const { machine, now, go } = setUp();
    const freshness = new ConfigFreshness();
    const steadyNow = () => machine.steady;
    const sentAt = steadyNow();
    const suspendedMs = now() - steadyNow();
    go(40);
    machine.wall += 9000;
    // The store looked before the suspension, and answered early.
    const answeredAt = steadyNow();
    const waits = { waitMs: 2500, hasChanges: false, suspendedMs };
    freshness.prove(provenAt({ sentAt, answeredAt, ...waits }));
    expect(freshness.ageMs(now())).to.equal(9040);
  });
});
