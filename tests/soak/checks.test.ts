/** Each check of the soak finds its fault in records, and nothing else. */
import { expect } from "chai";

import {
  DEADLINE_MS,
  findViolations,
  STREAM_EVENTS,
} from "../../soak/checks.js";
import type { AnnouncedSignals } from "../../platform/standins/replica.js";
import type {
  CallRecord,
  FaultRecord,
  ProbeRecord,
  SoakRecords,
} from "../../soak/types.js";

const EVENTS = Array.from({ length: STREAM_EVENTS }, (_item, at) => at + 1);

const call = (more: Partial<CallRecord> = {}): CallRecord => ({
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
  ...more,
});

const stream = (more: Partial<CallRecord> = {}): CallRecord =>
  call({ kind: "draft", bodyBy: undefined, events: EVENTS, ...more });

const probe = (more: Partial<ProbeRecord> = {}): ProbeRecord => ({
  id: "p",
  entry: "entry-0",
  life: 1,
  version: 2,
  sentAt: 10_000,
  headAt: 10_010,
  endedAt: 10_010,
  status: 200,
  signedBy: "plain-0",
  ...more,
});

const fault = (more: Partial<FaultRecord> = {}): FaultRecord => ({
  name: "process stopped",
  variant: "",
  target: "entry-0",
  from: 9900,
  until: 10_500,
  isPlanned: true,
  ...more,
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

const records = (more: Partial<SoakRecords> = {}): SoakRecords => ({
  calls: [],
  probes: [],
  runs: [],
  arrivals: [],
  limits: [],
  orders: [],
  faults: [],
  news: [],
  stalls: [],
  ...more,
});

const promises = (more: Partial<SoakRecords>): string[] =>
  findViolations(records(more)).map((item) => item.promise);

describe("soak checks", () => {
  it("find nothing in a good run", () => {
    const calls = [call(), stream({ id: "b", answerId: "b" })];
    const runs = [run("a"), run("b", "engine-0")];
    const orders = [order("s-0", 1), order("s-0", 1), order("s-1", 2)];
    expect(promises({ calls, runs, orders, probes: [probe()] })).to.eql([]);
  });

  describe("whole answers", () => {
    const wrong: Record<string, CallRecord> = {
      "another request's": call({ answerId: "x" }),
      unsigned: call({ signedBy: undefined, bodyBy: undefined }),
      "half a body": call({ bodyBy: undefined }),
      "a missing event": stream({ events: [1, 3] }),
      "a doubled event": stream({ events: [1, 1, 2], isWhole: false }),
      "an early end": stream({ events: [1, 2] }),
    };
    for (const [name, answer] of Object.entries(wrong)) {
      it(`find ${name}`, () => {
        expect(promises({ calls: [answer] })).to.include("whole answers");
      });
    }

    it("let a cut stream pass that looks cut", () => {
      const cut = stream({ events: [1, 2], isWhole: false });
      expect(promises({ calls: [cut] })).to.eql([]);
    });
  });

  it("find a second run of what may run once", () => {
    const runs = [run(), run()];
    expect(promises({ calls: [call()], runs })).to.include("at most once");
    const calls = [call({ kind: "safe" })];
    expect(promises({ calls, runs })).to.eql([]);
  });

  it("find a run of what was told not to have run", () => {
    const calls = [call({ status: 503, bodyBy: undefined })];
    expect(promises({ calls, runs: [run()] })).to.eql(["not run is true"]);
    expect(promises({ calls })).to.eql([]);
  });

  it("find a run that nobody asked for", () => {
    expect(promises({ runs: [run("z")] })).to.eql(["only what was asked runs"]);
  });

  describe("configuration", () => {
    const late = probe({ sentAt: 10_100, endedAt: 10_110, status: 404 });

    it("find a process that goes back", () => {
      const promise = "configuration never goes back";
      expect(promises({ probes: [probe(), late] })).to.include(promise);
    });

    it("let a new life begin with less", () => {
      const probes = [probe(), { ...late, life: 2 }];
      expect(promises({ probes })).to.eql([]);
    });

    it("find news that is not in force in calm times", () => {
      const news = [{ kind: "configuration" as const, subject: "2", at: 5000 }];
      const probes = [late];
      expect(promises({ news, probes })).to.eql(["configuration in force"]);
      const faults = [fault({ isPlanned: false, from: 4000, until: 6000 })];
      expect(promises({ news, probes, faults })).to.eql([]);
    });
  });

  it("find work for a replica that is leaving", () => {
    const news = [{ kind: "leaving" as const, subject: "plain-0", at: 5000 }];
    const calls = [call()];
    const late = { calls, news, runs: [run()] };
    expect(promises(late)).to.eql(["no work for leaving replicas"]);
    const early = { calls, news, runs: [run("a", "plain-0", 6000)] };
    expect(promises(early)).to.eql([]);
  });

  it("find too many further sends", () => {
    const calls = [call({ kind: "safe" })];
    const runs = Array.from({ length: 80 }, () => run());
    expect(promises({ calls, runs })).to.eql(["bounded retries"]);
  });

  describe("planned work", () => {
    const cut = call({ status: 0, isWhole: false });

    it("find what it cut", () => {
      const found = promises({
        calls: [cut],
        runs: [run()],
        faults: [fault()],
      });
      expect(found).to.eql(["planned work cuts nothing"]);
    });

    it("let pass what ended with its time", () => {
      const at = (endedAt: number) => ({
        calls: [call({ status: 0, isWhole: false, endedAt })],
        runs: [run()],
        faults: [fault({ until: 20_000 })],
      });
      expect(promises(at(10_000 + DEADLINE_MS))).to.eql([]);
      const early = promises(at(10_000 + DEADLINE_MS - 1));
      expect(early).to.eql(["planned work cuts nothing"]);
    });

    it("let pass what crossed the close, or was cut by other faults", () => {
      const faults = [fault()];
      expect(promises({ calls: [cut], faults })).to.eql([]);
      const other = fault({ isPlanned: false, from: 9000, until: 9500 });
      const both = { calls: [cut], runs: [run()], faults: [fault(), other] };
      expect(promises(both)).to.eql([]);
    });
  });

  it("find two holders", () => {
    const shared = [order("s-0", 1), order("s-1", 1)];
    expect(promises({ orders: shared })).to.eql(["one holder"]);
    const lower = [order("s-0", 2), order("s-1", 1)];
    expect(promises({ orders: lower })).to.eql(["one holder"]);
  });

  describe("signals of replicas", () => {
    const SAYS = { isLimited: false, isLeaving: false, backOff: undefined };

    /** So many requests through one entry, one each 10 ms. */
    const through = (
      entry: string,
      count: number,
      from: number,
      says: Partial<AnnouncedSignals> = {},
    ) => {
      const ids = Array.from(
        { length: count },
        (_item, at) => `${entry}-${at}-${from}`,
      );
      const told = { ...SAYS, ...says };
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
        arrivals: ids.map((requestId, at) => {
          const replica = "plain-0";
          return { requestId, replica, at: from + at * 10, told };
        }),
      };
    };

    const all = (
      parts: ReturnType<typeof through>[],
      more: Partial<SoakRecords> = {},
    ) => ({
      calls: parts.flatMap(({ calls }) => calls),
      arrivals: parts.flatMap(({ arrivals }) => arrivals),
      ...more,
    });

    describe("limits", () => {
      const limits = [{ replica: "plain-0", at: 10_000, perS: 2 }];
      const says = { isLimited: true };
      const told = [
        through("entry-0", 1, 10_000, says),
        through("entry-1", 1, 10_000, says),
      ];
      const later = (each: number) => [
        through("entry-0", each, 14_000, says),
        through("entry-1", each, 14_000, says),
      ];
      const broken = ["no more than a replica takes"];

      it("find more than it takes of all entries together", () => {
        const few = all([...told, ...later(8)], { limits });
        expect(promises(few)).to.eql([]);
        const many = all([...told, ...later(9)], { limits });
        expect(promises(many)).to.eql(broken);
      });

      it("let pass what entries sent that were not told, or were struck", () => {
        const [first] = told;
        const untold = [...(first ? [first] : []), ...later(15)];
        expect(promises(all(untold, { limits }))).to.eql([]);
        const mute = through("entry-1", 30, 14_000);
        const half = all([...told.slice(0, 1), mute], { limits });
        expect(promises(half)).to.eql([]);
        const faults = ["entry-0", "entry-1"].map((target) =>
          fault({ name: "process paused", target, until: 13_000 }),
        );
        const struck = all([...told, ...later(30)], { limits, faults });
        expect(promises(struck)).to.eql([]);
      });
    });

    describe("limits, by when callers received them", () => {
      const limits = [{ replica: "plain-0", at: 10_000, perS: 2 }];
      const says = { isLimited: true };
      const told = through("entry-0", 1, 10_000, says);
      const later = through("entry-0", 30, 14_000, says);
      const broken = ["no more than a replica takes"];

      it("do not bind entries whose callers received no signed answer", () => {
        const calls = told.calls.map((item) => ({
          ...item,
          status: 502,
          signedBy: undefined,
        }));
        expect(promises(all([{ ...told, calls }], { limits }))).to.eql([]);
        const lost = all([{ ...told, calls }, later], { limits });
        // The first signed answer was received at 14,040.
        expect(promises(lost)).to.eql([]);
        expect(promises(all([told, later], { limits }))).to.eql(broken);
      });

      it("allow for requests that may have arrived during a stall", () => {
        const violations = (from: number) =>
          promises(
            all([told, later], { limits, stalls: [{ from, until: 14_000 }] }),
          );
        expect(violations(10_300)).to.eql([]);
        expect(violations(13_100)).to.eql(broken);
      });
    });

    it("find sends in a back-off, of the entry that was asked", () => {
      const asked = through("entry-0", 1, 10_000, { backOff: "3" });
      const broken = ["back-offs are kept"];
      const sends = (entry: string, count: number, from: number) =>
        promises(all([asked, through(entry, count, from)]));
      expect(sends("entry-0", 3, 11_000)).to.eql(broken);
      expect(sends("entry-0", 2, 11_000)).to.eql([]);
      expect(sends("entry-1", 9, 11_000)).to.eql([]);
      expect(sends("entry-0", 9, 13_000)).to.eql([]);
      expect(sends("entry-0", 9, 10_400)).to.eql([]);
    });

    it("find work for a replica that had told the entry that it leaves", () => {
      const told = through("entry-0", 1, 10_000, { isLeaving: true });
      const broken = ["no work for who says that it leaves"];
      const sends = (entry: string, from: number) =>
        promises(all([told, through(entry, 1, from)]));
      expect(sends("entry-0", 12_500)).to.eql(broken);
      expect(sends("entry-0", 11_500)).to.eql([]);
      expect(sends("entry-1", 12_500)).to.eql([]);
    });
  });
});
