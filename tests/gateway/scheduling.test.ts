/** Decisions of the scheduler, without I/O. */
import { expect } from "chai";

import { RefusalCache } from "../../src/placement/refusalCache.js";
import { EngineScheduler } from "../../src/scheduling/index.js";
import type {
  EngineView,
  PlacementAnswer,
  PlacementRequest,
  Queued,
  Refusal,
  Stage,
} from "../../src/scheduling/index.js";
import { SizeFairness } from "../../src/scheduling/sizeFairness.js";

const engine = (id: string, stage: Stage): EngineView => ({
  id,
  stage,
  domain: "domain-1",
  slots: 4,
  kvCapacityTokens: 40_000,
});

const FLEET = [
  engine("pre-1", "prefill"),
  engine("pre-2", "prefill"),
  engine("dec-1", "decode"),
  engine("dec-2", "decode"),
];

let sequence = 0;
const ask = (more: Partial<PlacementRequest> = {}): PlacementRequest => {
  sequence += 1;
  return {
    id: `ask-${sequence}`,
    service: "model",
    route: "lookup",
    domain: "domain-1",
    model: "m",
    promptTokens: 6000,
    outputTokens: 100,
    mostOutputTokens: more.outputTokens ?? 100,
    parts: [
      { id: "manual", tokens: 4000 },
      { id: `own-${sequence}`, tokens: 2000 },
    ],
    objectiveLeftMs: 200,
    deadlineLeftMs: 2000,
    answerLeftMs: more.deadlineLeftMs ?? 2000,
    priority: 0,
    isReturn: false,
    avoid: [],
    unavailable: [],
    ...more,
  };
};

const ended = (id: string, ok: boolean) => ({
  kind: "ended" as const,
  id,
  ok,
  firstEventMs: 0,
});

const newScheduler = (share = 1, fleet = FLEET): EngineScheduler => {
  const scheduler = new EngineScheduler(() => share);
  scheduler.prefillModel.restoreCost({
    fixedMs: 0,
    tokenMs: 1 / 100,
    mPairMs: 0.15,
  });
  scheduler.setEngines(fleet);
  return scheduler;
};

const granted = (answer: PlacementAnswer | Queued) => {
  if (answer.kind !== "granted") throw new Error(answer.kind);
  return answer;
};

const rejected = (id: string) => ({ kind: "rejected" as const, id });

/** Asks until one is not granted; gives the number of grants. */
const fill = (scheduler: EngineScheduler, more: Partial<PlacementRequest>) => {
  for (let count = 0; ; count += 1) {
    const answer = scheduler.place(ask({ parts: [], ...more }), 0);
    if (answer.kind !== "granted") return count;
  }
};

/** Asks until one is refused; gives the refusal. */
const refusal = (
  scheduler: EngineScheduler,
  more: Partial<PlacementRequest>,
): Refusal => {
  for (;;) {
    const answer = scheduler.place(ask({ parts: [], ...more }), 0);
    if (answer.kind === "refused") return answer;
  }
};

describe("scheduler", () => {
  it("has a long prompt read apart, a short one where it runs", () => {
    const scheduler = newScheduler();
    const long = granted(scheduler.place(ask(), 0));
    const short = granted(scheduler.place(ask({ promptTokens: 200 }), 0));
    expect(long.reader).to.match(/^pre-/);
    expect(long.runner).to.match(/^dec-/);
    expect(short.reader).to.equal(undefined);
  });

  it("reads a shared part where it was read before", () => {
    const scheduler = newScheduler();
    const wanted = ask();
    const first = granted(scheduler.place(wanted, 0));
    scheduler.onEvent({ kind: "read", id: wanted.id, ok: true }, 100);
    const second = granted(scheduler.place(ask(), 1000));
    expect(second.reader).to.equal(first.reader);
  });

  describe("engines that are behind", () => {
    it("gives nothing more to one whose read is long overdue", () => {
      const scheduler = newScheduler();
      const stuck = granted(scheduler.place(ask({ parts: [] }), 0)).reader;
      // Expected after 63 ms; two seconds later nothing was heard of it.
      const readers = new Set<string | undefined>();
      for (let at = 2000; at < 2400; at += 100) {
        const next = ask({ parts: [], objectiveLeftMs: 300 });
        const answer = scheduler.place(next, at);
        if (answer.kind !== "granted") continue;
        readers.add(answer.reader);
        scheduler.onEvent({ kind: "read", id: next.id, ok: true }, at + 60);
      }
      expect(readers.size).to.equal(1);
      expect(readers).not.to.include(stuck);
    });

    it("gives it work again when the read has ended", () => {
      const scheduler = newScheduler(1, [FLEET[0]!, FLEET[2]!]);
      const late = ask({ parts: [] });
      granted(scheduler.place(late, 0));
      const next = ask({ parts: [], objectiveLeftMs: 400 });
      expect(scheduler.place(next, 900).kind).not.to.equal("granted");
      scheduler.onEvent({ kind: "read", id: late.id, ok: true }, 950);
      expect(scheduler.answerQueued(960).map(({ id }) => id)).to.eql([next.id]);
    });
  });

  it("goes elsewhere when the engine with the part is behind", () => {
    const scheduler = newScheduler();
    const parts = [{ id: "manual", tokens: 1000 }];
    const readers = new Set<string | undefined>();
    for (let at = 0; at < 2; at += 1) {
      readers.add(granted(scheduler.place(ask({ parts }), 0)).reader);
    }
    expect(readers.size).to.equal(2);
  });

  it("takes cached parts from another engine where that is quicker", () => {
    const scheduler = newScheduler();
    const wanted = ask();
    const first = granted(scheduler.place(wanted, 0));
    scheduler.onEvent({ kind: "read", id: wanted.id, ok: true }, 100);
    let second = first;
    while (second.reader === first.reader) {
      second = granted(scheduler.place(ask({ objectiveLeftMs: 900 }), 100));
    }
    expect(second.donor).to.equal(first.reader);
  });

  it("takes no parts from an engine that has yet to read them", () => {
    const scheduler = newScheduler();
    const first = granted(scheduler.place(ask(), 0));
    let second = first;
    while (second.reader === first.reader) {
      second = granted(scheduler.place(ask({ objectiveLeftMs: 900 }), 0));
    }
    expect(second.donor).to.equal(undefined);
  });

  it("expects nothing of a read that failed", () => {
    const scheduler = newScheduler(1, [FLEET[0]!, FLEET[2]!]);
    const wanted = ask();
    const first = granted(scheduler.place(wanted, 0));
    scheduler.onEvent({ kind: "read", id: wanted.id, ok: false }, 50);
    const second = granted(scheduler.place(ask(), 100));
    expect(second.readMs).to.be.closeTo(first.readMs, 1);
  });

  it("refuses what can't be in time, with a time to come back", () => {
    const scheduler = newScheduler();
    const count = fill(scheduler, { outputTokens: 10 });
    expect(count).to.be.at.least(2);
    expect(scheduler.queueLength).to.equal(1);
    const answer = refusal(scheduler, { outputTokens: 10 });
    expect(answer.why).to.equal("too-late");
    expect(answer.retryAfterMs).to.be.greaterThan(0);
    expect(answer.retryAfterMs).to.be.at.most(2000 / 3);
  });

  it("leaves a long answer the most of its time after a refusal", () => {
    const scheduler = newScheduler();
    const long = { promptTokens: 100, outputTokens: 1, deadlineLeftMs: 15_000 };
    fill(scheduler, long);
    const answer = scheduler.place(ask(long), 0);
    if (answer.kind !== "refused") throw new Error("granted");
    expect(answer.retryAfterMs).to.be.at.most(1000);
  });

  it("has room again when what it granted has ended", () => {
    const scheduler = newScheduler();
    const first = ask({ parts: [] });
    scheduler.place(first, 0);
    fill(scheduler, {});
    refusal(scheduler, {});
    expect(scheduler.answerQueued(0)).to.deep.equal([]);
    scheduler.onEvent({ kind: "read", id: first.id, ok: true }, 0);
    scheduler.onEvent(ended(first.id, true), 0);
    const kinds = scheduler.answerQueued(0).map(({ answer }) => answer.kind);
    expect(kinds).to.deep.equal(["granted"]);
  });

  it("counts what others may have placed by its share", () => {
    const alone = fill(newScheduler(1), { promptTokens: 200 });
    const shared = fill(newScheduler(4), { promptTokens: 200 });
    expect(shared).to.be.at.most(Math.ceil(alone / 4));
    expect(shared).to.be.greaterThan(0);
  });

  it("never fills more than the slots of the engines that run", () => {
    const count = fill(newScheduler(), { promptTokens: 100, outputTokens: 1 });
    expect(count).to.equal(8);
  });

  it("keeps long runs together, so that an engine stays free", () => {
    const scheduler = newScheduler();
    const runners = new Set<string>();
    for (let at = 0; at < 3; at += 1) {
      const long = ask({ promptTokens: 100, outputTokens: 5000 });
      runners.add(granted(scheduler.place(long, 0)).runner);
    }
    expect(runners.size).to.equal(1);
  });

  describe("an engine that fails again and again", () => {
    const short = { promptTokens: 100, outputTokens: 10 };
    const failing = (fleet: EngineView[]) => {
      const scheduler = newScheduler(1, fleet);
      for (let failures = 0, at = 0; failures < 2; at += 1) {
        const one = ask(short);
        const { runner } = granted(scheduler.place(one, at));
        const ok = runner !== "dec-1";
        scheduler.onEvent(ended(one.id, ok), at);
        if (!ok) failures += 1;
        else scheduler.place(ask(short), at);
      }
      return scheduler;
    };
    const runners = (scheduler: EngineScheduler, now: number) =>
      Array.from({ length: 3 }, () => {
        return granted(scheduler.place(ask(short), now)).runner;
      });

    it("is left out where another can do its work, then tried", () => {
      const scheduler = failing(FLEET);
      expect(runners(scheduler, 10)).to.not.include("dec-1");
      expect(runners(scheduler, 5000)).to.include("dec-1");
    });

    it("is not left out where it is the last of its stage", () => {
      const [reader, , runner] = FLEET;
      const scheduler = failing([reader!, runner!]);
      expect(runners(scheduler, 10)).to.include("dec-1");
    });
  });

  describe("long answers on engines of different speed", () => {
    const FLEET_OF_THREE = [FLEET[0]!, FLEET[2]!, FLEET[3]!];
    const TOOK_MS: Record<string, number> = { "dec-1": 900, "dec-2": 300 };
    const long = { parts: [], promptTokens: 100, outputTokens: 1000 };

    /** Places 30 rounds of four; returns the runners of the last ten rounds. */
    const runnersOf = (scheduler: EngineScheduler, answerLeftMs: number) => {
      const runners: string[] = [];
      for (let round = 0; round < 30; round += 1) {
        const at = round * 5000;
        const asks = [1, 2, 3, 4].map(() => ask({ ...long, answerLeftMs }));
        for (const item of asks) {
          const { runner } = granted(scheduler.place(item, at));
          runners.push(runner);
          scheduler.onEvent({ kind: "begun", id: item.id }, at + 10);
          const tookMs = TOOK_MS[runner]! - 10;
          const stream = { events: 20, tookMs, isCut: false };
          const end = { ...ended(item.id, true), firstEventMs: 10, stream };
          scheduler.onEvent(end, at + TOOK_MS[runner]!);
        }
      }
      return runners.slice(-40);
    };

    it("go to an engine that meets their deadline", () => {
      const runners = runnersOf(newScheduler(1, FLEET_OF_THREE), 700);
      expect(new Set(runners)).to.eql(new Set(["dec-2"]));
    });

    it("also go to a slow engine if it meets their deadline", () => {
      const runners = runnersOf(newScheduler(1, FLEET_OF_THREE), 20_000);
      expect(runners).to.include("dec-1");
    });

    it("are refused at once if they would make others miss their deadline", () => {
      const scheduler = newScheduler(1, [FLEET[0]!, FLEET[3]!]);
      // One to four concurrent runs; each adds 100 ms to all of them.
      for (let round = 0; round < 40; round += 1) {
        const at = round * 5000;
        const count = 1 + (round % 4);
        const asks = Array.from({ length: count }, () => ask(long));
        for (const item of asks) {
          granted(scheduler.place(item, at));
          scheduler.onEvent({ kind: "begun", id: item.id }, at + 10);
        }
        const tookMs = 200 + 100 * count;
        for (const { id } of asks) {
          const stream = { events: 20, tookMs: tookMs - 10, isCut: false };
          const end = { ...ended(id, true), firstEventMs: 10, stream };
          scheduler.onEvent(end, at + tookMs);
        }
      }
      const at = 300_000;
      const tight = { ...long, answerLeftMs: 550 };
      for (let run = 0; run < 3; run += 1) {
        granted(scheduler.place(ask(tight), at));
      }
      const first = scheduler.place(ask(tight), at);
      expect(first).to.include({ kind: "refused", why: "slots" });
      const returned = ask({ ...tight, isReturn: true });
      expect(scheduler.place(returned, at).kind).to.equal("granted");
    });
  });

  it("leaves an engine out at once that answers nothing at all", () => {
    const scheduler = newScheduler();
    const one = ask({ promptTokens: 100 });
    const { runner } = granted(scheduler.place(one, 0));
    scheduler.onEvent({ kind: "silent", id: one.id, engine: runner }, 1);
    const runners = [1, 2, 3].map(
      () => granted(scheduler.place(ask({ promptTokens: 100 }), 2)).runner,
    );
    expect(runners).to.not.include(runner);
  });

  describe("an engine that denies its stage", () => {
    const denied = () => {
      const scheduler = newScheduler();
      const one = ask();
      const { reader } = granted(scheduler.place(one, 0));
      const event = { kind: "wrong-stage" as const, engine: reader! };
      scheduler.onEvent({ ...event, id: one.id }, 1);
      scheduler.onEvent(ended(one.id, true), 1);
      return { scheduler, reader };
    };
    const readers = (scheduler: EngineScheduler, now: number) => {
      const more = { parts: [], objectiveLeftMs: 1000, deadlineLeftMs: 1000 };
      return [1, 2].map(() => {
        const answer = scheduler.place(ask(more), now);
        return answer.kind === "granted" ? answer.reader : undefined;
      });
    };

    it("gets nothing of it until the list says more", () => {
      const { scheduler, reader } = denied();
      expect(readers(scheduler, 2)).to.not.include(reader);
    });

    it("is used as the list says it has become", () => {
      const { scheduler, reader } = denied();
      const now = FLEET.map((item) =>
        item.id === reader ? { ...item, stage: "decode" as const } : item,
      );
      scheduler.setEngines(now);
      const short = ask({ promptTokens: 100 });
      const runners = [1, 2, 3].map(
        () => granted(scheduler.place({ ...short }, 2)).runner,
      );
      expect(runners).to.include(reader);
    });

    it("is not judged to have failed", () => {
      const { scheduler, reader } = denied();
      const state = scheduler
        .engineStates()
        .find((item) => item.view.id === reader);
      state!.recordOutcome(false, 2);
      expect(state!.isBackingOff(2)).to.equal(false);
    });
  });

  it("takes over grants of another scheduler", () => {
    const scheduler = newScheduler();
    for (let at = 0; at < 8; at += 1) {
      const runner = at % 2 === 0 ? "dec-1" : "dec-2";
      const held = ask({ promptTokens: 100 });
      const grant = { kind: "granted" as const, reader: undefined, runner };
      const rest = { donor: undefined, readMs: 0, waitedMs: 0, ageMs: 0 };
      scheduler.adoptGrant(held, { ...grant, ...rest }, false, 0);
    }
    const answer = scheduler.place(ask({ promptTokens: 100 }), 0);
    expect(answer.kind).to.equal("refused");
  });

  it("has engines read at once whose reads ended before it took over", () => {
    const scheduler = newScheduler();
    for (const reader of ["pre-1", "pre-2"]) {
      const rest = { donor: undefined, readMs: 0, waitedMs: 0, ageMs: 0 };
      const held = { kind: "granted" as const, reader, runner: "dec-1" };
      scheduler.adoptGrant(ask(), { ...held, ...rest }, true, 0);
    }
    const answer = granted(scheduler.place(ask({ parts: [] }), 2000));
    expect(answer.reader).to.match(/^pre-/);
  });
});

describe("fairness by size", () => {
  /** Sizes 1 to 100, in no order. */
  const sizes = Array.from({ length: 400 }, (_, at) => ((at * 37) % 100) + 1);

  it("sees that the largest requests are left behind", () => {
    const fairness = new SizeFairness();
    for (const size of sizes) fairness.count("lookup", size, size <= 90);
    expect(fairness.isUnderserved("lookup", 99)).to.equal(true);
    expect(fairness.isUnderserved("lookup", 50)).to.equal(false);
    expect(fairness.isUnderserved("other", 99)).to.equal(false);
  });

  it("detects that the largest answers are cut off", () => {
    const scheduler = newScheduler(1, [
      FLEET[0]!,
      { ...FLEET[2]!, slots: 500, kvCapacityTokens: 100_000_000 },
    ]);
    for (const size of sizes) {
      const one = ask({ promptTokens: 100, outputTokens: size * 10 });
      granted(scheduler.place(one, 0));
      const stream = { events: 5, tookMs: 10, isCut: size > 90 };
      scheduler.onEvent({ ...ended(one.id, true), stream }, 10);
    }
    const { fairness } = scheduler;
    expect(fairness.isUnderserved("lookup", 100 + 10 * 990)).to.equal(true);
    expect(fairness.isUnderserved("lookup", 100 + 10 * 500)).to.equal(false);
  });

  it("is content when they are served as often", () => {
    const fairness = new SizeFairness();
    for (const size of sizes) fairness.count("lookup", size, size % 2 === 0);
    expect(fairness.isUnderserved("lookup", 99)).to.equal(false);
  });
});

describe("asks in a rush", () => {
  const refusal = {
    kind: "refused" as const,
    why: "too-late" as const,
    retryAfterMs: 600,
  };
  const cases = [
    { name: "refused at once", waiting: 4, later: 100, route: "lookup" },
    { name: "asked while few wait", waiting: 3, later: 100, route: "lookup" },
    {
      name: "asked again after a while",
      waiting: 9,
      later: 301,
      route: "lookup",
    },
    { name: "asked for other routes", waiting: 9, later: 100, route: "draft" },
  ];
  for (const [at, { name, waiting, later, route }] of cases.entries()) {
    it(name, () => {
      const limit = new RefusalCache();
      limit.record("lookup", refusal, 1000);
      const answer = limit.recentRefusal(route, waiting, 1000 + later);
      expect(answer).to.equal(at === 0 ? refusal : undefined);
    });
  }

  it("go on where the holder grants, or lacks slots only", () => {
    const limit = new RefusalCache();
    limit.record("lookup", { ...refusal, why: "slots" }, 1000);
    expect(limit.recentRefusal("lookup", 9, 1000)).to.equal(undefined);
  });
});

describe("engines that want nothing from the process that asks", () => {
  it("get nothing of it, and everything of others", () => {
    const scheduler = newScheduler();
    const unavailable = ["pre-1", "dec-1"];
    const short = { parts: [], promptTokens: 2000 };
    for (let count = 0; count < 3; count += 1) {
      const grant = granted(scheduler.place(ask({ ...short, unavailable }), 0));
      expect(grant).to.include({ reader: "pre-2", runner: "dec-2" });
    }
    const other = granted(scheduler.place(ask(short), 0));
    expect(other).to.include({ reader: "pre-1", runner: "dec-1" });
  });

  /*
   * Counted as readers that will come free, they let requests wait until
   * their callers gave up.
   */
  it("let nobody wait for the time that others of them have", () => {
    const scheduler = newScheduler();
    const busy = { parts: [], unavailable: ["pre-2"] };
    while (scheduler.place(ask(busy), 0).kind !== "refused");
    const others = { parts: [], unavailable: ["pre-1"] };
    expect(scheduler.place(ask(others), 0).kind).to.equal("granted");
    const allowedMs = 2000 * 0.5;
    const readMs = 60;
    expect(scheduler.queueLength * readMs).to.be.at.most(allowedMs);
  });

  it("get nothing also where they are the last of their stage", () => {
    const scheduler = newScheduler();
    const unavailable = ["pre-1", "pre-2"];
    const answer = scheduler.place(ask({ unavailable }), 0);
    expect(answer).to.include({ kind: "refused", why: "no-engine" });
    expect(scheduler.queueLength).to.equal(0);
  });

  it("are not taken for ill, nor for holding what they did not read", () => {
    const scheduler = newScheduler();
    const unavailable = ["pre-2", "dec-2"];
    for (let count = 0; count < 8; count += 1) {
      const one = ask({ unavailable });
      granted(scheduler.place(one, 0));
      scheduler.onEvent(rejected(one.id), 0);
      scheduler.onEvent(ended(one.id, true), 0);
    }
    const [reader, runner] = ["pre-1", "dec-1"].map((id) =>
      scheduler.engineStates().find(({ view }) => view.id === id),
    );
    expect(reader).to.include({ prefillCount: 0, runCount: 0 });
    expect(runner).to.include({ prefillCount: 0, runCount: 0, runTokens: 0 });
    for (const state of [reader, runner]) {
      expect(state?.isBackingOff(0)).to.equal(false);
      expect(state?.cachedTokens([{ key: "m/manual", tokens: 1 }])).to.equal(0);
    }
  });
});

describe("scheduler of engines that name a limit", () => {
  /** Permits that are left, by engine; others take any number. */
  const limited = (left: Record<string, number>) => {
    const scheduler = new EngineScheduler(() => 1, {
      mayAcquire: (id) => (left[id] ?? 1) > 0,
      acquire: (id) => {
        if (left[id] !== undefined) left[id] -= 1;
        return (left[id] ?? 0) >= 0;
      },
      ratePerS: (id) => (left[id] === undefined ? Infinity : 2),
    });
    scheduler.prefillModel.restoreCost({
      fixedMs: 0,
      tokenMs: 1 / 100,
      mPairMs: 0.15,
    });
    scheduler.setEngines(FLEET);
    return scheduler;
  };

  it("sends as many there as it takes, the others elsewhere", () => {
    const left = { "dec-1": 2, "pre-1": 1 };
    const scheduler = limited(left);
    const grants = Array.from({ length: 4 }, () => {
      const one = ask({ parts: [] });
      const answer = granted(scheduler.place(one, 0));
      scheduler.onEvent({ kind: "read", id: one.id, ok: true }, 0);
      return answer;
    });
    const runs = grants.filter(({ runner }) => runner === "dec-1").length;
    const reads = grants.filter(({ reader }) => reader === "pre-1").length;
    expect(runs).to.be.at.most(2);
    expect(reads).to.be.at.most(1);
    expect(left["dec-1"]).to.equal(2 - runs);
    expect(left["pre-1"]).to.equal(1 - reads);
  });

  it("has no prompt read whose run has nowhere to go", () => {
    const left = { "dec-1": 0, "dec-2": 0 };
    const scheduler = limited(left);
    const answer = scheduler.place(ask(), 0);
    expect(answer.kind).to.not.equal("granted");
  });

  it("says when to come back where all of a stage take no more", () => {
    const left = { "dec-1": 0, "dec-2": 0 };
    const scheduler = limited(left);
    const answer = refusal(scheduler, {});
    expect(answer.why).to.equal("limited");
    // Both together take four a second.
    expect(answer.retryAfterMs).to.be.at.least(250);
  });

  it("lets those wait that get their turn by the limits in time", () => {
    const left = { "dec-1": 0, "dec-2": 0 };
    const scheduler = limited(left);
    const one = ask({ objectiveLeftMs: 1000 });
    expect(scheduler.place(one, 0).kind).to.equal("queued");
    left["dec-2"] = 1;
    const [settled] = scheduler.answerQueued(260);
    expect(settled?.answer).to.include({ kind: "granted", runner: "dec-2" });
  });

  it("uses no failed engine for one that takes no more for a moment", () => {
    const left: Record<string, number> = { "dec-1": 5 };
    const scheduler = limited(left);
    for (let at = 0; at < 4; at += 1) {
      const one = ask({ avoid: ["dec-2"] });
      scheduler.place(one, 0);
      scheduler.onEvent(ended(one.id, false), 0);
    }
    left["dec-1"] = 5;
    left["dec-2"] = 0;
    const answer = scheduler.place(ask(), 1);
    expect(answer.kind).to.not.equal("granted");
  });
});
