/** The order of requests that wait for engines, and which may wait. */
import { expect } from "chai";

import type { PlacementRequest } from "../../src/scheduling/index.js";
import { WaitQueue } from "../../src/scheduling/waitQueue.js";
import type { QueuedRequest } from "../../src/scheduling/waitQueue.js";

const item = (
  id: string,
  more: Partial<QueuedRequest> = {},
): QueuedRequest => ({
  request: { id, priority: 1 } as PlacementRequest,
  costMs: 100,
  queuedAt: 0,
  onTimeUntil: 300,
  latestStartAt: 2000,
  ...more,
});

const load = { engines: 2, backlogMs: 50, onTimeShare: 0, capacityWaitMs: 0 };

const order = (queue: WaitQueue): string[] =>
  queue.peek(9).map(({ request: ask }) => ask.id);

describe("requests that wait for engines", () => {
  it("begin in the order in which they must, late ones last", () => {
    const queue = new WaitQueue();
    queue.add(item("late", { onTimeUntil: -1 }), 0);
    queue.add(item("soon", { onTimeUntil: 200 }), 0);
    queue.add(item("sooner", { onTimeUntil: 100 }), 0);
    expect(order(queue)).to.eql(["sooner", "soon", "late"]);
  });

  it("go behind when they can't be in time any more", () => {
    const queue = new WaitQueue();
    queue.add(item("a", { onTimeUntil: 100 }), 0);
    queue.add(item("b", { onTimeUntil: 200 }), 0);
    expect(queue.removeExpired(150)).to.eql([]);
    expect(order(queue)).to.eql(["b", "a"]);
  });

  it("are given up when their callers would not wait any longer", () => {
    const queue = new WaitQueue();
    queue.add(item("a", { latestStartAt: 500 }), 0);
    queue.add(item("b", { latestStartAt: 900 }), 0);
    const hopeless = queue.removeExpired(600).map(({ request: ask }) => ask.id);
    expect(hopeless).to.eql(["a"]);
    expect(order(queue)).to.eql(["b"]);
  });

  it("late ones: the more urgent kind first, then the latest start", () => {
    const queue = new WaitQueue();
    const late = { onTimeUntil: -1 };
    const urgent = { id: "urgent", priority: 0 } as PlacementRequest;
    queue.add(item("second", { ...late, latestStartAt: 900 }), 0);
    queue.add(item("first", { ...late, latestStartAt: 800 }), 0);
    queue.add(item("", { ...late, request: urgent }), 0);
    expect(order(queue)).to.eql(["urgent", "first", "second"]);
  });

  describe("may wait", () => {
    const rows = [
      { name: "where they will be in time", load, may: true },
      {
        name: "late, where their turn comes soon",
        load: { ...load, backlogMs: 900 },
        may: true,
      },
      {
        name: "not where it comes too late for callers",
        load: { ...load, backlogMs: 1100 },
        may: false,
      },
      {
        name: "not where what is in time takes the engines",
        load: { ...load, backlogMs: 900, onTimeShare: 0.5 },
        may: false,
      },
      {
        name: "not without engines",
        load: { ...load, engines: 0 },
        may: false,
      },
      {
        name: "where room to run comes soon",
        load: { ...load, capacityWaitMs: 200 },
        may: true,
      },
      {
        name: "not where nothing that runs ends",
        load: { ...load, capacityWaitMs: Infinity },
        may: false,
      },
    ];
    for (const { name, load: seen, may } of rows) {
      it(name, () => {
        expect(new WaitQueue().canQueue(item("a"), seen, 0)).to.equal(may);
      });
    }

    it("not behind too many others", () => {
      const queue = new WaitQueue();
      let count = 0;
      const late = { onTimeUntil: -1 };
      while (queue.canQueue(item("", late), load, 0)) {
        queue.add(item(`${(count += 1)}`, late), 0);
      }
      expect(count).to.be.within(15, 25);
    });
  });
});
