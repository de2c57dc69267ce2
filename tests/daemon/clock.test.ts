/** The lease clock, and which clock differences it counts as a machine suspension. */
import { expect } from "chai";

import { newLeaseClock } from "../../src/daemon/clock.js";
import {
  ConfigFreshness,
  provenAt,
} from "../../src/workspaces/configFreshness.js";

const setUp = () => {
  const machine = { monotonic: 1000, wall: 1_700_000_000_000 };
  const now = newLeaseClock(
    () => machine.monotonic,
    () => machine.wall,
  );
  const advance = (ms: number): void => {
    machine.monotonic += ms;
    machine.wall += ms;
  };
  return { machine, now, advance };
};

describe("the lease clock", () => {
  it("advances with the monotonic clock", () => {
    const { now, advance } = setUp();
    const start = now();
    advance(1234);
    expect(now() - start).to.equal(1234);
  });

  it("includes a suspension of the machine, which the monotonic clock does not", () => {
    const { machine, now, advance } = setUp();
    const start = now();
    advance(10);
    machine.wall += 3000;
    expect(now() - start).to.equal(3010);
    advance(10);
    expect(now() - start).to.equal(3020);
  });

  it("does not go back when the wall clock is set back", () => {
    const { machine, now, advance } = setUp();
    const start = now();
    machine.wall -= 5000;
    advance(10);
    expect(now() - start).to.equal(10);
    machine.wall += 3000;
    expect(now() - start).to.equal(3010);
  });

  it("does not accumulate small corrections of the wall clock", () => {
    const { machine, now, advance } = setUp();
    const start = now();
    for (let at = 0; at < 1000; at += 1) {
      advance(10);
      machine.wall += 1;
      now();
    }
    expect(now() - start).to.equal(10_000);
  });

  it("does not count a pause between its reads of the two clocks as a suspension", () => {
    const machine = { monotonic: 0, wall: 0, pauses: 2 };
    const now = newLeaseClock(
      () => machine.monotonic,
      () => {
        if (machine.pauses > 0) {
          machine.pauses -= 1;
          machine.monotonic += 400;
          machine.wall += 400;
        }
        return machine.wall;
      },
    );
    const start = now();
    machine.pauses = 1;
    expect(now() - start).to.equal(400);
    expect(now() - start).to.equal(400);
  });

  it("adds a suspension to the age of a configuration proof", () => {
    const { machine, now, advance } = setUp();
    const freshness = new ConfigFreshness();
    const monotonicNow = () => machine.monotonic;
    const sentAt = monotonicNow();
    const suspendedMs = now() - monotonicNow();
    advance(40);
    machine.wall += 9000;
    // The store read its state before the suspension, and answered before the wait ended.
    const answeredAt = monotonicNow();
    const waits = { waitMs: 2500, hasChanges: false, suspendedMs };
    freshness.prove(provenAt({ sentAt, answeredAt, ...waits }));
    expect(freshness.ageMs(now())).to.equal(9040);
  });
});
