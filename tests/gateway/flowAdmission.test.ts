/** Which queued requests give way to one that can't be queued, under contention. */
import { expect } from "chai";

import type { PlacementRequest } from "../../src/scheduling/index.js";
import { FlowAdmission } from "../../src/scheduling/flowAdmission.js";
import { WaitQueue } from "../../src/scheduling/waitQueue.js";

const flow = (workspace: string, route = "a") => ({
  route,
  workspace,
  priority: 0,
});

const requestOf = (id: string, workspace: string, route = "a") =>
  ({ id, ...flow(workspace, route) }) as PlacementRequest;

describe("displacing queued requests", () => {
  let admission: FlowAdmission;
  let queue: WaitQueue;

  /** Queues requests of a workspace, one ms after the other. */
  const enqueue = (count: number, workspace: string, route = "a"): void => {
    for (let at = 0; at < count; at += 1) {
      const request = requestOf(`${workspace}-${at}`, workspace, route);
      const times = { onTimeUntil: 300, latestStartAt: 2000 };
      queue.add({ request, costMs: 10, workMs: 10, queuedAt: at, ...times }, 0);
    }
  };
  const queued = (): string[] => queue.items().map(({ request }) => request.id);
  /** Makes room for a request of the small workspace. */
  const displace = (canQueue: () => boolean): string[] =>
    admission
      .makeRoom(queue, requestOf("new", "small"), canQueue, 0)
      .map(({ request }) => request.id);

  beforeEach(() => {
    admission = new FlowAdmission();
    queue = new WaitQueue();
    const { shares } = admission;
    shares.recordDemand(flow("large"), 900, 0);
    shares.recordDemand(flow("small"), 100, 0);
    shares.recordGranted(flow("large"), 450, 0);
    shares.recordAdmitted(flow("large"), 900, 0);
    shares.recordContention(0);
  });

  it("takes the newest of the flow that is over its share, and no more than needed", () => {
    enqueue(3, "large");
    enqueue(2, "small");
    const displaced = displace(() => queue.size <= 3);
    expect(displaced).to.eql(["large-2", "large-1"]);
    expect(queued()).to.have.members(["large-0", "small-0", "small-1"]);
  });

  it("leaves the queue as it was where that makes no room, after 8 at the most", () => {
    enqueue(12, "large");
    let tries = 0;
    const displaced = displace(() => (tries += 1) > 8);
    expect(displaced).to.eql([]);
    expect(tries).to.equal(8);
    expect(queue.size).to.equal(12);
  });

  it("spares flows within their share", () => {
    enqueue(3, "small");
    expect(displace(() => true)).to.eql([]);
  });

  it("spares a workspace that has its route to itself", () => {
    admission.shares.recordDemand(flow("alone", "b"), 900, 0);
    admission.shares.recordAdmitted(flow("alone", "b"), 900, 0);
    enqueue(3, "alone", "b");
    expect(displace(() => true)).to.eql([]);
  });

  it("spares all for a flow that is more than half as far over its share", () => {
    admission.shares.recordDemand(flow("small"), 800, 0);
    admission.shares.recordAdmitted(flow("small"), 500, 0);
    enqueue(3, "large");
    expect(displace(() => true)).to.eql([]);
  });

  it("does not happen without contention", () => {
    enqueue(3, "large");
    const request = requestOf("new", "small");
    expect(admission.makeRoom(queue, request, () => true, 301)).to.eql([]);
  });
});
