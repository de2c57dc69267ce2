/** Each check of the soak finds its violation in the records, and no other. */
import { expect } from "chai";

import {
  DEADLINE_MS,
  findViolations,
  STREAM_EVENTS,
} from "../../soak/checks.js";
import { retryLimitsOf } from "../../soak/profile.js";
import { eventsIn } from "../../platform/standins/caller.js";
import type { AnnouncedSignals } from "../../platform/standins/replica.js";
import type {
  CallRecord,
  FaultRecord,
  ProbeRecord,
  SoakRecords,
} from "../../soak/types.js";

const EVENTS = Array.from({ length: STREAM_EVENTS }, (_item, at) => at + 1);

const call = (overrides: Partial<CallRecord> = {}): CallRecord => ({
  id: "a",
  kind: "unsafe",
  entry: "entry-0",
  life: 1,
  sentAt: 10_000,
  headAt: 10_040,
  endedAt: 10_050,
  status: 200,
  isWhole: true,
  answerId: "a",
  signedBy: "plain-0",
  bodyBy: "plain-0",
  events: [],
  versions: [],
  ...overrides,
});

const stream = (overrides: Partial<CallRecord> = {}): CallRecord =>
  call({ kind: "draft", bodyBy: undefined, events: EVENTS, ...overrides });

const probe = (overrides: Partial<ProbeRecord> = {}): ProbeRecord => ({
  id: "p",
  entry: "entry-0",
  life: 1,
  version: 2,
  sentAt: 10_000,
  headAt: 10_010,
  endedAt: 10_010,
  status: 200,
  signedBy: "plain-0",
  ...overrides,
});

const fault = (overrides: Partial<FaultRecord> = {}): FaultRecord => ({
  name: "process stopped",
  variant: "",
  target: "entry-0",
  from: 9900,
  until: 10_500,
  isPlanned: true,
  ...overrides,
});

const run = (requestId = "a", replica = "plain-0", at = 10_020) => ({
  requestId,
  replica,
  at,
});

const order = (holder: string, fence: number) => ({
  replica: "engine-0",
  holder,
  fence,
  at: 0,
});

const records = (overrides: Partial<SoakRecords> = {}): SoakRecords => ({
  calls: [],
  probes: [],
  runs: [],
  arrivals: [],
  partEnds: [],
  engines: [],
  limits: [],
  orders: [],
  faults: [],
  news: [],
  stalls: [],
  processEnds: [],
  retryLimits: retryLimitsOf("all"),
  ...overrides,
});

const violatedPromises = (overrides: Partial<SoakRecords>): string[] =>
  findViolations(records(overrides)).map((item) => item.promise);

describe("soak checks", () => {
  it("find a process that ended by itself", () => {
    const processEnds = [{ process: "entry-0", at: 100 }];
    expect(violatedPromises({ processEnds })).to.eql([
      "no process ends by itself",
    ]);
  });

  it("find no violation in a correct run", () => {
    const calls = [call(), stream({ id: "b", answerId: "b" })];
    const runs = [run("a"), run("b", "engine-0")];
    const orders = [order("s-0", 1), order("s-0", 1), order("s-1", 2)];
    expect(violatedPromises({ calls, runs, orders, probes: [probe()] })).to.eql(
      [],
    );
  });

  describe("replicas that run a request", () => {
    const PROMISE = "no more replicas than allowed";
    const resumable = stream({ kind: "resumable" });
    const runs = [1, 2, 3].map((at) => run("a", `engine-${at}`, 10_000 + at));

    it("may not be more than its route allows", () => {
      expect(violatedPromises({ calls: [resumable], runs })).to.eql([PROMISE]);
    });

    it("may be as many as its route allows, each more than once", () => {
      const twice = [...runs.slice(1), ...runs.slice(1)];
      const found = violatedPromises({ calls: [resumable], runs: twice });
      expect(found).to.eql([]);
    });

    for (const name of ["replica crashed", "replica link"]) {
      it(`do not count after a fault (${name}) of theirs`, () => {
        const target = "engine-2";
        const lost = fault({ name, target, isPlanned: false });
        const faults = [{ ...lost, from: 10_010, until: 10_020 }];
        const calls = [resumable];
        expect(violatedPromises({ calls, runs, faults })).to.eql([]);
      });
    }

    it("count after a fault of another one", () => {
      const other = fault({ name: "replica link", target: "engine-9" });
      const calls = [resumable];
      expect(violatedPromises({ calls, runs, faults: [other] })).to.eql([
        PROMISE,
      ]);
    });
  });

  describe("parts that end engines", () => {
    const PROMISE = "parts that end engines are held back";
    const told = { isLimited: false, isLeaving: false, backOff: undefined };
    const partEnds = [1, 2, 3, 4, 5].map((at) => ({
      part: "dead",
      replica: `engine-${at}`,
      at: 10_000 + at,
    }));
    /** Requests with a part that reach an engine at this time. */
    const reaching = (
      count: number,
      at: number,
      overrides: Partial<SoakRecords> = {},
    ) => {
      const ids = Array.from({ length: count }, (_item, index) => `r${index}`);
      const calls = ids.map((id) => stream({ id, answerId: id, sentAt: at }));
      const arrivals = ids.flatMap((requestId) =>
        (["read", "run"] as const).map((phase) => {
          const parts = ["first", "dead", requestId];
          return { requestId, replica: "engine-0", phase, at, parts, told };
        }),
      );
      return violatedPromises({ calls, arrivals, partEnds, ...overrides });
    };

    it("find more than three requests long after the fifth end", () => {
      expect(reaching(4, 14_000)).to.eql([PROMISE]);
    });

    it("allow three, each read and run", () => {
      expect(reaching(3, 14_000)).to.eql([]);
    });

    it("allow those of the time in which entries hear of it", () => {
      expect(reaching(40, 12_900)).to.eql([]);
    });

    it("allow those of entries that a fault hit shortly before", () => {
      const paused = fault({ from: 12_000, until: 12_500, isPlanned: false });
      expect(reaching(4, 14_000, { faults: [paused] })).to.eql([]);
    });

    it("count nothing after four ends", () => {
      const four = partEnds.slice(1);
      expect(reaching(40, 14_000, { partEnds: four })).to.eql([]);
    });
  });

  describe("whole answers", () => {
    const wrongAnswers: Record<string, CallRecord> = {
      "another request's": call({ answerId: "x" }),
      unsigned: call({ signedBy: undefined, bodyBy: undefined }),
      "half a body": call({ bodyBy: undefined }),
      "a missing event": stream({ events: [1, 3] }),
      "a doubled event": stream({ events: [1, 1, 2], isWhole: false }),
      "an early end": stream({ events: [1, 2] }),
    };
    for (const [name, answer] of Object.entries(wrongAnswers)) {
      it(`find ${name}`, () => {
        expect(violatedPromises({ calls: [answer] })).to.include(
          "whole answers",
        );
      });
    }

    it("count an event that is mangled and then sent again", () => {
      const body = "id: 1\ndata: ev\n\nid: 1\ndata: event 1 of v1\n\n";
      const events = eventsIn(body).map(({ id }) => id);
      const doubled = stream({ events, isWhole: false });
      expect(violatedPromises({ calls: [doubled] })).to.include(
        "whole answers",
      );
    });

    it("allow a stream that was cut and that the caller saw as cut", () => {
      const cut = stream({ events: [1, 2], isWhole: false });
      expect(violatedPromises({ calls: [cut] })).to.eql([]);
    });
  });

  describe("streams that are taken up", () => {
    const begun = (id = "a", versions = ["v1", "v1"]) =>
      stream({
        id,
        answerId: id,
        kind: "resumable",
        events: [1, 2],
        versions,
        isWhole: false,
      });
    const rest = EVENTS.slice(2);
    const resumed = (version: string, overrides: Partial<CallRecord> = {}) =>
      stream({
        id: "b",
        answerId: "b",
        kind: "resumable",
        entry: "entry-1",
        sentAt: 11_000,
        endedAt: 11_050,
        events: rest,
        versions: rest.map(() => version),
        resumption: { streamId: "a", lastEventId: 2, isTrue: true },
        ...overrides,
      });

    it("are whole from the event on that the caller names", () => {
      expect(violatedPromises({ calls: [begun(), resumed("v1")] })).to.eql([]);
      const doubled = resumed("v1", { events: [2, ...rest] });
      expect(violatedPromises({ calls: [begun(), doubled] })).to.include(
        "whole answers",
      );
    });

    it("find events of two versions in one answer or over several", () => {
      const expected = ["one version a stream"];
      const calls = [begun(), resumed("v2")];
      expect(violatedPromises({ calls })).to.eql(expected);
      const mixed = [begun("a", ["v1", "v2"])];
      expect(violatedPromises({ calls: mixed })).to.eql(expected);
    });

    it("allow another version to who names a stream that isn't his", () => {
      const resumption = { streamId: "x", lastEventId: 2, isTrue: false };
      const calls = [begun(), resumed("v2", { resumption })];
      expect(violatedPromises({ calls })).to.eql([]);
    });

    describe("of which few go on", () => {
      const engines = (count: number) =>
        Array.from({ length: count }, (_, at) => ({
          replica: `engine-${at}`,
          version: "v1",
          from: 0,
          until: Infinity,
        }));
      /** Of twelve streams that are taken up, `count` go on. */
      const calls = (count: number) =>
        Array.from({ length: 12 }, (_, at) => {
          const resumption = {
            streamId: `a${at}`,
            lastEventId: 2,
            isTrue: true,
          };
          const refused = { status: 503, events: [], versions: [] };
          const more = at < count ? {} : refused;
          const id = `b${at}`;
          return [
            begun(`a${at}`),
            resumed("v1", { id, answerId: id, resumption, ...more }),
          ];
        }).flat();

      it("find them while two engines of their version serve", () => {
        const expected = ["streams that are taken up go on"];
        const found = (count: number) =>
          violatedPromises({ calls: calls(count), engines: engines(2) });
        expect(found(5)).to.eql(expected);
        expect(found(6)).to.eql([]);
      });

      it("allow them while one engine serves, or the entry had a fault", () => {
        const few = { calls: calls(0), engines: engines(1) };
        expect(violatedPromises(few)).to.eql([]);
        const killed = fault({
          name: "process killed",
          target: "entry-1",
          until: 10_900,
          isPlanned: false,
        });
        const struck = { ...few, engines: engines(2), faults: [killed] };
        expect(violatedPromises(struck)).to.eql([]);
      });
    });
  });

  it("find a second run of a request that may run only once", () => {
    const runs = [run(), run()];
    expect(violatedPromises({ calls: [call()], runs })).to.include(
      "at most once",
    );
    const calls = [call({ kind: "safe" })];
    expect(violatedPromises({ calls, runs })).to.eql([]);
  });

  it("find a run of a request reported as not run", () => {
    const calls = [call({ status: 503, bodyBy: undefined })];
    expect(violatedPromises({ calls, runs: [run()] })).to.eql([
      "not run is true",
    ]);
    expect(violatedPromises({ calls })).to.eql([]);
  });

  it("find a run that no caller requested", () => {
    expect(violatedPromises({ runs: [run("z")] })).to.eql([
      "only what was asked runs",
    ]);
  });

  describe("configuration", () => {
    const late = probe({ sentAt: 10_100, endedAt: 10_110, status: 404 });

    it("find a process that goes back to an older version", () => {
      const promise = "configuration never goes back";
      expect(violatedPromises({ probes: [probe(), late] })).to.include(promise);
    });

    it("allow a new incarnation to start with an older version", () => {
      const probes = [probe(), { ...late, life: 2 }];
      expect(violatedPromises({ probes })).to.eql([]);
    });

    it("find a change not in force although no fault was active", () => {
      const news = [{ kind: "configuration" as const, subject: "2", at: 5000 }];
      const probes = [late];
      expect(violatedPromises({ news, probes })).to.eql([
        "configuration in force",
      ]);
      const faults = [fault({ isPlanned: false, from: 4000, until: 6000 })];
      expect(violatedPromises({ news, probes, faults })).to.eql([]);
    });
  });

  it("find work for a replica that is leaving", () => {
    const news = [{ kind: "leaving" as const, subject: "plain-0", at: 5000 }];
    const calls = [call()];
    const late = { calls, news, runs: [run()] };
    expect(violatedPromises(late)).to.eql(["no work for leaving replicas"]);
    const early = { calls, news, runs: [run("a", "plain-0", 6000)] };
    expect(violatedPromises(early)).to.eql([]);
  });

  it("find work for a replica that was removed, unless a stall may have delayed it", () => {
    const news = [{ kind: "removed" as const, subject: "plain-0", at: 5000 }];
    const told = { isLimited: false, isLeaving: false, backOff: undefined };
    const records = (at: number) => ({
      calls: [call()],
      news,
      arrivals: [
        {
          requestId: "a",
          replica: "plain-0",
          phase: "run" as const,
          at,
          parts: [],
          told,
        },
      ],
    });
    const promise = "no work for replicas that were removed";
    expect(violatedPromises(records(7000))).to.eql([]);
    expect(violatedPromises(records(7001))).to.eql([promise]);
    const stalls = [{ from: 6900, until: 7400 }];
    expect(violatedPromises({ ...records(7450), stalls })).to.eql([]);
  });

  it("find too many retries", () => {
    const calls = [call({ kind: "safe" })];
    const runs = Array.from({ length: 80 }, () => run());
    expect(violatedPromises({ calls, runs })).to.eql(["bounded retries"]);
  });

  describe("retries in windows", () => {
    const PROMISE = "bounded retries in windows";
    const told = { isLimited: false, isLeaving: false, backOff: undefined };
    /** Requests, each of which reaches a replica in these phases, 1 ms apart. */
    const reaching = (
      count: number,
      phases: readonly ("read" | "run")[],
      sentAt = 10_000,
    ) => {
      const ids = Array.from({ length: count }, (_item, at) => `r${at}`);
      const calls = ids.map((id) => stream({ id, answerId: id, sentAt }));
      const arrivals = ids.flatMap((requestId) =>
        phases.map((phase, at) => {
          const arrival = { requestId, replica: "engine-0", phase, told };
          return { ...arrival, parts: [], at: 10_000 + at };
        }),
      );
      return violatedPromises({ calls, arrivals });
    };

    // 100 requests: 0.2 * 100 + 64 retries are allowed.
    it("find arrivals beyond the first, also those that were refused", () =>
      expect(reaching(100, ["run", "run"])).to.eql([PROMISE]));

    it("count a second prefill", () =>
      expect(reaching(100, ["read", "read", "run"])).to.eql([PROMISE]));

    it("allow the first prefill, and what the budget allows", () => {
      expect(reaching(100, ["read", "run"])).to.eql([]);
      expect(reaching(80, ["run", "run"])).to.eql([]);
    });

    it("count no requests of long before", () =>
      expect(reaching(80, ["run", "run"], -11_000)).to.eql([PROMISE]));
  });

  describe("planned work", () => {
    const cut = call({ status: 0, isWhole: false });

    it("find requests that it cut", () => {
      const found = violatedPromises({
        calls: [cut],
        runs: [run()],
        faults: [fault()],
      });
      expect(found).to.eql(["planned work cuts nothing"]);
    });

    it("allow requests that ended at their deadline", () => {
      const at = (endedAt: number) => ({
        calls: [call({ status: 0, isWhole: false, endedAt })],
        runs: [run()],
        faults: [fault({ until: 20_000 })],
      });
      expect(violatedPromises(at(10_000 + DEADLINE_MS))).to.eql([]);
      const early = violatedPromises(at(10_000 + DEADLINE_MS - 1));
      expect(early).to.eql(["planned work cuts nothing"]);
    });

    it("allow requests that reached no replica, or were cut by other faults", () => {
      const faults = [fault()];
      expect(violatedPromises({ calls: [cut], faults })).to.eql([]);
      const other = fault({ isPlanned: false, from: 9000, until: 9500 });
      const both = { calls: [cut], runs: [run()], faults: [fault(), other] };
      expect(violatedPromises(both)).to.eql([]);
    });
  });

  it("find two lease holders at once", () => {
    const shared = [order("s-0", 1), order("s-1", 1)];
    expect(violatedPromises({ orders: shared })).to.eql(["one holder"]);
    const lower = [order("s-0", 2), order("s-1", 1)];
    expect(violatedPromises({ orders: lower })).to.eql(["one holder"]);
  });

  describe("signals of replicas", () => {
    const NO_SIGNALS = {
      isLimited: false,
      isLeaving: false,
      backOff: undefined,
    };

    /** `count` requests through one entry, one every 10 ms. */
    const requestsThrough = (
      entry: string,
      count: number,
      from: number,
      signals: Partial<AnnouncedSignals> = {},
    ) => {
      const ids = Array.from(
        { length: count },
        (_item, at) => `${entry}-${at}-${from}`,
      );
      const told = { ...NO_SIGNALS, ...signals };
      return {
        calls: ids.map((id) =>
          call({
            id,
            entry,
            answerId: id,
            sentAt: from,
            headAt: from + 40,
            endedAt: from + 50,
          }),
        ),
        arrivals: ids.map((requestId, index) => {
          const replica = "plain-0";
          const phase = "run" as const;
          const at = from + index * 10;
          return { requestId, replica, phase, at, parts: [], told };
        }),
      };
    };

    const merge = (
      parts: ReturnType<typeof requestsThrough>[],
      overrides: Partial<SoakRecords> = {},
    ) => ({
      calls: parts.flatMap(({ calls }) => calls),
      arrivals: parts.flatMap(({ arrivals }) => arrivals),
      ...overrides,
    });

    describe("limits", () => {
      const limits = [{ replica: "plain-0", at: 10_000, perS: 2 }];
      const signals = { isLimited: true };
      const told = [
        requestsThrough("entry-0", 1, 10_000, signals),
        requestsThrough("entry-1", 1, 10_000, signals),
      ];
      const later = (each: number) => [
        requestsThrough("entry-0", each, 14_000, signals),
        requestsThrough("entry-1", each, 14_000, signals),
      ];
      const expectedViolations = ["no more than a replica takes"];

      it("find more requests than a replica's limit, over all entries", () => {
        const few = merge([...told, ...later(8)], { limits });
        expect(violatedPromises(few)).to.eql([]);
        const many = merge([...told, ...later(9)], { limits });
        expect(violatedPromises(many)).to.eql(expectedViolations);
      });

      it("allow requests of entries that did not know the limit or had a fault", () => {
        const [first] = told;
        const untold = [...(first ? [first] : []), ...later(15)];
        expect(violatedPromises(merge(untold, { limits }))).to.eql([]);
        const withoutSignals = requestsThrough("entry-1", 30, 14_000);
        const partlyTold = merge([...told.slice(0, 1), withoutSignals], {
          limits,
        });
        expect(violatedPromises(partlyTold)).to.eql([]);
        const faults = ["entry-0", "entry-1"].map((target) =>
          fault({ name: "process paused", target, until: 13_000 }),
        );
        const withFaults = merge([...told, ...later(30)], { limits, faults });
        expect(violatedPromises(withFaults)).to.eql([]);
      });
    });

    describe("limits, by when callers received them", () => {
      const limits = [{ replica: "plain-0", at: 10_000, perS: 2 }];
      const signals = { isLimited: true };
      const told = requestsThrough("entry-0", 1, 10_000, signals);
      const later = requestsThrough("entry-0", 30, 14_000, signals);
      const expectedViolations = ["no more than a replica takes"];

      it("do not bind entries whose callers received no signed answer", () => {
        const calls = told.calls.map((item) => ({
          ...item,
          status: 502,
          signedBy: undefined,
        }));
        expect(
          violatedPromises(merge([{ ...told, calls }], { limits })),
        ).to.eql([]);
        const lost = merge([{ ...told, calls }, later], { limits });
        // The first signed answer was received at 14,040.
        expect(violatedPromises(lost)).to.eql([]);
        expect(violatedPromises(merge([told, later], { limits }))).to.eql(
          expectedViolations,
        );
      });

      it("allow for requests that may have arrived during a stall", () => {
        const violations = (from: number) =>
          violatedPromises(
            merge([told, later], { limits, stalls: [{ from, until: 14_000 }] }),
          );
        expect(violations(10_300)).to.eql([]);
        expect(violations(13_100)).to.eql(expectedViolations);
      });
    });

    it("find sends during a back-off by the entry that was asked for it", () => {
      const asked = requestsThrough("entry-0", 1, 10_000, { backOff: "3" });
      const expectedViolations = ["back-offs are kept"];
      const sends = (entry: string, count: number, from: number) =>
        violatedPromises(merge([asked, requestsThrough(entry, count, from)]));
      expect(sends("entry-0", 3, 11_000)).to.eql(expectedViolations);
      expect(sends("entry-0", 2, 11_000)).to.eql([]);
      expect(sends("entry-1", 9, 11_000)).to.eql([]);
      expect(sends("entry-0", 9, 13_000)).to.eql([]);
      expect(sends("entry-0", 9, 10_400)).to.eql([]);
    });

    it("find work for a replica after it told the entry that it is leaving", () => {
      const told = requestsThrough("entry-0", 1, 10_000, { isLeaving: true });
      const expectedViolations = ["no work for who says that it leaves"];
      const sends = (entry: string, from: number) =>
        violatedPromises(merge([told, requestsThrough(entry, 1, from)]));
      expect(sends("entry-0", 12_500)).to.eql(expectedViolations);
      expect(sends("entry-0", 11_500)).to.eql([]);
      expect(sends("entry-1", 12_500)).to.eql([]);
    });
  });
});
