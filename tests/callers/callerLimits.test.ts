import { expect } from "chai";

import { callerLimits } from "../../src/callers/callerLimits.js";
import { CallerMemory } from "../../src/callers/callerMemory.js";

const LARGEST_BODY = 4 * 1024 * 1024;

/** Machines of entries, as the site files name them. */
const MACHINES = [
  { memoryMb: 160, maxFds: 4100 },
  { memoryMb: 210, maxFds: 3075 },
  { memoryMb: 250, maxFds: 4100 },
  { memoryMb: 350, maxFds: 4100 },
  { memoryMb: 490, maxFds: 10_250 },
  { memoryMb: 602, maxFds: 8192 },
];

describe("limits for callers", () => {
  for (const machine of MACHINES) {
    describe(`on a machine of ${machine.memoryMb} MB`, () => {
      const limits = callerLimits(machine);

      it("leave descriptors for the process itself", () => {
        expect(limits.maxConnections).to.be.at.most(
          (machine.maxFds - 200) * 0.75,
        );
        expect(limits.maxConnections).to.be.at.least(500);
      });

      it("have room for two bodies of the largest size", () => {
        const memory = new CallerMemory(limits.maxHeldBytes, () => 0);
        const first = memory.hold(() => undefined);
        first.set(LARGEST_BODY);
        first.pin();
        expect(memory.hasRoomFor(LARGEST_BODY)).to.equal(true);
      });

      it("have room for an answer of the largest size", () => {
        expect(limits.maxReplyBytes).to.be.at.least(2 * LARGEST_BODY);
      });
    });
  }

  it("hold where the machine is not known", () => {
    const limits = callerLimits({});
    expect(limits.maxHeldBytes).to.be.greaterThan(2 * LARGEST_BODY);
    expect(limits.maxConnections).to.be.greaterThan(1000);
  });
});
