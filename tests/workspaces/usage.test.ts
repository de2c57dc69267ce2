/** The fleet's usage report: counts of all, one report a window. */
import { expect } from "chai";

import type {
  ConditionalWriteResult,
  FeedItem,
  ObjectFeed,
} from "../../src/store/index.js";
import type { Log } from "../../src/telemetry/index.js";
import {
  UsageCounts,
  UsageLedger,
  UsageReporter,
} from "../../src/workspaces/index.js";
import type { DutyOutcome, UsageCall } from "../../src/workspaces/index.js";

const WINDOWS = { windowMs: 5000, dueMs: 10_000 };
const silent = (): void => undefined;
const LOG: Log = { info: silent, warn: silent, error: silent, debug: silent };

/** One stored object, and what the next write of it comes to. */
class OneObject implements ObjectFeed {
  item: FeedItem | undefined;
  next: "written" | "lost" | "refused" = "written";
  isDown = false;

  async list() {
    if (this.isDown) throw new Error("store: silent");
    return { items: this.item ? [this.item] : [], revision: 1 };
  }

  async changes(): Promise<never> {
    throw new Error("not followed");
  }

  async writeStatus(): Promise<never> {
    throw new Error("not written");
  }

  async write(
    _kind: string,
    name: string,
    value: unknown,
    expected: number,
  ): Promise<ConditionalWriteResult> {
    if (this.isDown || this.next === "refused") {
      return { kind: "refused", why: "busy" };
    }
    if ((this.item?.revision ?? 0) !== expected) {
      return { kind: "conflict", current: this.item };
    }
    this.item = { name, revision: expected + 1, value };
    if (this.next === "lost") return { kind: "unknown", why: "no answer" };
    return { kind: "written", item: this.item };
  }
}

/** The platform, and the time of day, as all processes see them. */
class World {
  readonly store = new OneObject();
  readonly calls: UsageCall[] = [];
  answer: DutyOutcome = { kind: "taken" };
  now = 1_000_000;

  reporter(self: string, fence: () => number | undefined) {
    const ledger = new UsageLedger();
    const reporter = new UsageReporter({
      self,
      windows: WINDOWS,
      ledger,
      feed: this.store,
      port: {
        reportUsage: async (call) => {
          this.calls.push(structuredClone(call));
          return this.answer;
        },
      },
      fence,
      log: LOG,
      now: () => this.now,
      wallNow: () => this.now,
    });
    return { reporter, ledger };
  }

  /** Steps each 300 ms for so long. */
  async run(reporter: UsageReporter, ms: number): Promise<void> {
    const end = this.now + ms;
    while (this.now < end) {
      await reporter.step();
      this.now += 300;
    }
  }

  /** Windows of the calls, in order. */
  get reported(): number[] {
    return this.calls.map(({ windowSeq }) => windowSeq);
  }
}

describe("usage report", () => {
  let world: World;

  beforeEach(() => {
    world = new World();
  });

  const first = 200;

  it("comes once a window, in order, in time, for all processes", async () => {
    const { reporter, ledger } = world.reporter("a", () => 3);
    ledger.record("p-1", { seq: first, counts: { large: 4, small: 1 } });
    ledger.record("p-2", { seq: first, counts: { large: 2 } });
    ledger.record("p-2", { seq: first, counts: { large: 5 } });
    await world.run(reporter, 30_000);
    expect(world.reported).to.deep.equal([200, 201, 202, 203, 204]);
    expect(world.calls[0]).to.deep.equal({
      windowSeq: first,
      counts: { large: 9, small: 1 },
      holder: "a",
      fence: 3,
    });
  });

  it("is not sent anew where the store has forgotten the last ones", async () => {
    const { reporter, ledger } = world.reporter("a", () => 3);
    ledger.record("p-1", { seq: first, counts: { large: 4 } });
    const before = world.store.item;
    await world.run(reporter, 20_000);
    const sent = world.reported;
    world.store.item = before;
    world.store.next = "refused";
    await world.run(reporter, 300);
    world.store.next = "written";
    await world.run(reporter, 20_000);
    const all = world.reported;
    expect(all.slice(0, sent.length)).to.deep.equal(sent);
    expect(new Set(all).size).to.equal(all.length);
  });

  it("is sent again as it was until it is taken", async () => {
    const { reporter, ledger } = world.reporter("a", () => 3);
    ledger.record("p-1", { seq: first, counts: { large: 4 } });
    world.answer = { kind: "failed", why: "status 429" };
    await world.run(reporter, 9500);
    ledger.record("p-1", { seq: first, counts: { large: 5 } });
    world.answer = { kind: "taken" };
    await world.run(reporter, 1000);
    expect(world.calls.length).to.be.greaterThan(1);
    for (const { windowSeq, counts } of world.calls) {
      expect({ windowSeq, counts }).to.deep.equal({
        windowSeq: first,
        counts: { large: 4 },
      });
    }
  });

  it("a new holder repeats the last one as it was, and goes on", async () => {
    let isHolder = true;
    const before = world.reporter("a", () => (isHolder ? 3 : undefined));
    before.ledger.record("p-1", { seq: first, counts: { large: 4 } });
    await world.run(before.reporter, 9000);
    isHolder = false;
    const after = world.reporter("b", () => 4);
    after.ledger.record("p-1", { seq: first, counts: { large: 3 } });
    after.ledger.record("p-1", { seq: 201, counts: { large: 7 } });
    await world.run(after.reporter, 5000);
    await before.reporter.step();
    const told = world.calls.map(({ windowSeq, counts, fence }) => {
      return { windowSeq, counts, fence };
    });
    expect(told).to.deep.equal([
      { windowSeq: 200, counts: { large: 4 }, fence: 3 },
      { windowSeq: 200, counts: { large: 4 }, fence: 4 },
      { windowSeq: 201, counts: { large: 7 }, fence: 4 },
    ]);
  });

  it("that was written without an answer is sent as it was written", async () => {
    const { reporter, ledger } = world.reporter("a", () => 3);
    ledger.record("p-1", { seq: first, counts: { large: 4 } });
    world.store.next = "lost";
    await world.run(reporter, 8300);
    ledger.record("p-1", { seq: first, counts: { large: 6 } });
    world.store.next = "written";
    await world.run(reporter, 1500);
    expect(world.calls[0]?.counts).to.deep.equal({ large: 4 });
    expect(new Set(world.reported)).to.deep.equal(new Set([first]));
  });

  it("is not sent where it can't be written first", async () => {
    const { reporter } = world.reporter("a", () => 3);
    world.store.isDown = true;
    await world.run(reporter, 9000);
    expect(world.calls).to.deep.equal([]);
    world.store.isDown = false;
    await world.run(reporter, 1500);
    expect(world.reported[0]).to.equal(first);
  });

  it("that is too late is left out, and the next ones come", async () => {
    const { reporter } = world.reporter("a", () => 3);
    world.store.isDown = true;
    await world.run(reporter, 16_000);
    world.store.isDown = false;
    await world.run(reporter, 8000);
    expect(world.reported).to.deep.equal([201, 202, 203]);
  });

  it("nothing is sent by a process that must not act", async () => {
    const { reporter } = world.reporter("a", () => undefined);
    await world.run(reporter, 20_000);
    expect(world.calls).to.deep.equal([]);
    expect(world.store.item).to.equal(undefined);
  });
});

describe("usage counts", () => {
  it("belong to the window in which a request began", () => {
    const now = 1_001_000;
    const counts = new UsageCounts(WINDOWS, () => now);
    counts.record("large", 0);
    counts.record("large", 1500);
    counts.record("small", 500);
    expect(counts.all()).to.deep.equal([
      { seq: 200, counts: { large: 1, small: 1 } },
      { seq: 199, counts: { large: 1 } },
    ]);
  });

  it("are told whole, and only where they have changed", () => {
    let now = 1_001_000;
    const counts = new UsageCounts(WINDOWS, () => now);
    counts.record("large");
    expect(counts.takeChanges()).to.have.length(1);
    expect(counts.takeChanges()).to.deep.equal([]);
    counts.record("large");
    expect(counts.takeChanges()).to.deep.equal([
      { seq: 200, counts: { large: 2 } },
    ]);
    now += 60_000;
    counts.record("large");
    counts.takeChanges();
    expect(counts.all().map(({ seq }) => seq)).to.deep.equal([212]);
  });
});
