/** The fleet's usage report: one report per window, with the counts of all processes. */
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
const noop = (): void => undefined;
const LOG: Log = { info: noop, warn: noop, error: noop, debug: noop };

/** A store of one object; `next` sets the result of its next write. */
class SingleObjectStore implements ObjectFeed {
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

/** The store, platform and wall clock that all simulated processes share. */
class SharedPlatform {
  readonly store = new SingleObjectStore();
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

  /** Steps the reporter every 300 ms for `ms`. */
  async run(reporter: UsageReporter, ms: number): Promise<void> {
    const end = this.now + ms;
    while (this.now < end) {
      await reporter.step();
      this.now += 300;
    }
  }

  /** Window numbers of the calls to the platform, in order. */
  get reportedWindows(): number[] {
    return this.calls.map(({ windowSeq }) => windowSeq);
  }
}

describe("usage report", () => {
  let platform: SharedPlatform;

  beforeEach(() => {
    platform = new SharedPlatform();
  });

  const firstWindow = 200;

  it("is sent once per window, in order and on time, with the counts of all processes", async () => {
    const { reporter, ledger } = platform.reporter("a", () => 3);
    ledger.record("p-1", { seq: firstWindow, counts: { large: 4, small: 1 } });
    ledger.record("p-2", { seq: firstWindow, counts: { large: 2 } });
    ledger.record("p-2", { seq: firstWindow, counts: { large: 5 } });
    await platform.run(reporter, 30_000);
    expect(platform.reportedWindows).to.deep.equal([200, 201, 202, 203, 204]);
    expect(platform.calls[0]).to.deep.equal({
      windowSeq: firstWindow,
      counts: { large: 9, small: 1 },
      holder: "a",
      fence: 3,
    });
  });

  it("is not sent twice when the store has lost the latest writes", async () => {
    const { reporter, ledger } = platform.reporter("a", () => 3);
    ledger.record("p-1", { seq: firstWindow, counts: { large: 4 } });
    const before = platform.store.item;
    await platform.run(reporter, 20_000);
    const sent = platform.reportedWindows;
    platform.store.item = before;
    platform.store.next = "refused";
    await platform.run(reporter, 300);
    platform.store.next = "written";
    await platform.run(reporter, 20_000);
    const all = platform.reportedWindows;
    expect(all.slice(0, sent.length)).to.deep.equal(sent);
    expect(new Set(all).size).to.equal(all.length);
  });

  it("is retried unchanged until the platform accepts it", async () => {
    const { reporter, ledger } = platform.reporter("a", () => 3);
    ledger.record("p-1", { seq: firstWindow, counts: { large: 4 } });
    platform.answer = { kind: "failed", why: "status 429" };
    await platform.run(reporter, 9500);
    ledger.record("p-1", { seq: firstWindow, counts: { large: 5 } });
    platform.answer = { kind: "taken" };
    await platform.run(reporter, 1000);
    expect(platform.calls.length).to.be.greaterThan(1);
    for (const { windowSeq, counts } of platform.calls) {
      expect({ windowSeq, counts }).to.deep.equal({
        windowSeq: firstWindow,
        counts: { large: 4 },
      });
    }
  });

  it("of the last holder is repeated unchanged by a new holder, which then continues", async () => {
    let isHolder = true;
    const before = platform.reporter("a", () => (isHolder ? 3 : undefined));
    before.ledger.record("p-1", { seq: firstWindow, counts: { large: 4 } });
    await platform.run(before.reporter, 9000);
    isHolder = false;
    const after = platform.reporter("b", () => 4);
    after.ledger.record("p-1", { seq: firstWindow, counts: { large: 3 } });
    after.ledger.record("p-1", { seq: 201, counts: { large: 7 } });
    await platform.run(after.reporter, 5000);
    await before.reporter.step();
    const sentReports = platform.calls.map(({ windowSeq, counts, fence }) => {
      return { windowSeq, counts, fence };
    });
    expect(sentReports).to.deep.equal([
      { windowSeq: 200, counts: { large: 4 }, fence: 3 },
      { windowSeq: 200, counts: { large: 4 }, fence: 4 },
      { windowSeq: 201, counts: { large: 7 }, fence: 4 },
    ]);
  });

  it("whose write got no answer is sent as it was written", async () => {
    const { reporter, ledger } = platform.reporter("a", () => 3);
    ledger.record("p-1", { seq: firstWindow, counts: { large: 4 } });
    platform.store.next = "lost";
    await platform.run(reporter, 8300);
    ledger.record("p-1", { seq: firstWindow, counts: { large: 6 } });
    platform.store.next = "written";
    await platform.run(reporter, 1500);
    expect(platform.calls[0]?.counts).to.deep.equal({ large: 4 });
    expect(new Set(platform.reportedWindows)).to.deep.equal(
      new Set([firstWindow]),
    );
  });

  it("is not sent before it has been written to the store", async () => {
    const { reporter } = platform.reporter("a", () => 3);
    platform.store.isDown = true;
    await platform.run(reporter, 9000);
    expect(platform.calls).to.deep.equal([]);
    platform.store.isDown = false;
    await platform.run(reporter, 1500);
    expect(platform.reportedWindows[0]).to.equal(firstWindow);
  });

  it("that is overdue is skipped, and the next ones are sent", async () => {
    const { reporter } = platform.reporter("a", () => 3);
    platform.store.isDown = true;
    await platform.run(reporter, 16_000);
    platform.store.isDown = false;
    await platform.run(reporter, 8000);
    expect(platform.reportedWindows).to.deep.equal([201, 202, 203]);
  });

  it("is neither written nor sent by a process without a fence", async () => {
    const { reporter } = platform.reporter("a", () => undefined);
    await platform.run(reporter, 20_000);
    expect(platform.calls).to.deep.equal([]);
    expect(platform.store.item).to.equal(undefined);
  });
});

describe("usage counts", () => {
  it("belong to the window in which a request started", () => {
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

  it("are passed on as full counts of a window, and only for windows that changed", () => {
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
