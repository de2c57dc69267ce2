import { expect } from "chai";

import { CallerMemory } from "../../src/callers/callerMemory.js";
import type { Holding } from "../../src/callers/callerMemory.js";

const KB = 1024;
const MAX_BYTES = 1000 * KB;

describe("the memory that callers hold", () => {
  let now: number;
  let memory: CallerMemory;
  let evicted: string[];

  beforeEach(() => {
    now = 0;
    evicted = [];
    memory = new CallerMemory(MAX_BYTES, () => now);
  });

  const hold = (name: string, bytes = 0): Holding => {
    const holding = memory.hold(() => evicted.push(name));
    if (bytes > 0) holding.set(bytes);
    return holding;
  };

  describe("within the bound", () => {
    it("evicts nobody", () => {
      hold("one", 500 * KB);
      hold("two", 500 * KB);
      expect(evicted).to.deep.equal([]);
      expect(memory.heldBytes).to.equal(MAX_BYTES);
    });

    it("forgets what is released", () => {
      hold("one", 700 * KB).release();
      hold("two", 700 * KB);
      expect(evicted).to.deep.equal([]);
    });
  });

  describe("beyond the bound", () => {
    it("evicts who holds most", () => {
      hold("small", 10 * KB);
      hold("large", 600 * KB);
      hold("new", 395 * KB);
      expect(evicted).to.deep.equal(["large"]);
    });

    it("evicts who has held as much for longer", () => {
      hold("old", 400 * KB);
      now = 100;
      hold("young", 400 * KB);
      hold("new", 250 * KB);
      expect(evicted).to.deep.equal(["old"]);
    });

    it("makes room for more than the one that asked", () => {
      for (let at = 0; at < 10; at += 1) hold(`${at}`, 100 * KB);
      hold("new", 1 * KB);
      expect(evicted).to.have.length(2);
      expect(memory.heldBytes).to.be.at.most(0.9 * MAX_BYTES);
    });

    it("spares requests in progress", () => {
      const running = hold("running", 700 * KB);
      running.pin();
      now = 1000;
      hold("reading", 290 * KB);
      hold("small", 20 * KB);
      expect(evicted).to.deep.equal(["reading"]);
    });

    it("evicts those whose answers are not read", () => {
      const answered = hold("answered", 50 * KB);
      answered.pin();
      answered.unpin();
      answered.set(700 * KB);
      now = 1000;
      hold("new", 400 * KB);
      expect(evicted).to.deep.equal(["answered"]);
    });
  });

  describe("beside requests in progress", () => {
    beforeEach(() => hold("running", 700 * KB).pin());

    it("has room for small bodies, and for large ones up to its part", () => {
      expect(memory.hasRoomFor(10 * KB)).to.equal(true);
      expect(memory.hasRoomFor(50 * KB)).to.equal(true);
      expect(memory.hasRoomFor(100 * KB)).to.equal(false);
    });

    it("refuses a body of unknown length once it is too large", () => {
      const body = hold("body", 40 * KB);
      expect(evicted).to.deep.equal([]);
      body.set(100 * KB);
      expect(evicted).to.deep.equal(["body"]);
    });

    it("has no room for a large head", () => {
      expect(memory.hasRoomForHead(20 * KB)).to.equal(true);
      expect(memory.hasRoomForHead(100 * KB)).to.equal(false);
    });
  });
});
