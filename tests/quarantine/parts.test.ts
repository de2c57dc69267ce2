/** When a part of prompts is barred, and how one that is sound is cleared. */
import { expect } from "chai";

import { Quarantine, sharedPartKeys } from "../../src/quarantine/index.js";
import type { SuspectRequest } from "../../src/quarantine/index.js";
import {
  JOINT_TRIAL_DELAY_MS,
  PART_ENDS_TO_BAR,
  PART_TRIAL_DELAYS_MS,
  RECENT_SURVIVAL_MS,
} from "../../src/quarantine/quarantine.js";

const DEADLY = "part:dead";
const SHARED = "part:first";
const [FIRST_DELAY_MS] = PART_TRIAL_DELAYS_MS;
const MINUTE_MS = 60_000;
const ENDS_INTERVAL_MS = 500;

const newFleet = (names: readonly string[]) => {
  const clock = { now: 100_000 };
  const now = () => clock.now;
  return {
    clock,
    entries: names.map((name) => new Quarantine(name, now, now)),
  };
};

const newEntry = () => {
  const { clock, entries } = newFleet(["a"]);
  return { clock, entry: entries[0]! };
};

let sequence = 0;

/** A request unlike all others. */
const request = (...parts: string[]): SuspectRequest => {
  sequence += 1;
  return { digest: `9.request-${sequence}`, parts };
};

const endUnder = (
  entry: Quarantine,
  count: number,
  ...parts: string[]
): void => {
  for (let at = 0; at < count; at += 1) {
    sequence += 1;
    const agoMs = (count - at) * ENDS_INTERVAL_MS;
    const suspect = { ...request(...parts), agoMs };
    entry.recordReplicaEnd([suspect], `life-${sequence}`);
  }
};

const isBarred = (entry: Quarantine, key: string): boolean =>
  entry.activeRecord(key) !== undefined;

describe("the parts of a prompt", () => {
  it("are suspects but for the last, each once, up to a bound", () => {
    const ids = (list: string) => list.split("").map((id) => ({ id }));
    expect(sharedPartKeys(ids("abca"))).to.eql(["part:a", "part:b", "part:c"]);
    expect(sharedPartKeys(ids("a"))).to.eql([]);
    expect(sharedPartKeys([])).to.eql([]);
    const many = Array.from({ length: 500 }, (_, at) => ({ id: `p${at}` }));
    expect(sharedPartKeys(many).length).to.be.at.most(32);
    const [long] = sharedPartKeys([{ id: "x".repeat(9000) }, { id: "y" }]);
    expect(long?.length).to.be.at.most(60);
  });
});

describe("a part under which replicas ended", () => {
  it("is barred after ends under different requests, not before", () => {
    const { entry } = newEntry();
    endUnder(entry, PART_ENDS_TO_BAR - 1, DEADLY);
    expect(isBarred(entry, DEADLY)).to.equal(false);
    endUnder(entry, 1, DEADLY);
    expect(isBarred(entry, DEADLY)).to.equal(true);
    expect(entry.tracksParts).to.equal(true);
  });

  it("is not barred by one request alone, however often that comes", () => {
    const { entry } = newEntry();
    const same = request(DEADLY);
    for (let at = 0; at < 6; at += 1)
      entry.recordReplicaEnd([same], `life-${at}`);
    expect(isBarred(entry, DEADLY)).to.equal(false);
    expect(isBarred(entry, same.digest)).to.equal(true);
  });

  it("is not barred by one end of which many requests tell", () => {
    const { entry } = newEntry();
    const requests = Array.from({ length: 40 }, () => request(DEADLY));
    entry.recordReplicaEnd(requests, "life-0");
    expect(isBarred(entry, DEADLY)).to.equal(false);
  });

  it("is barred by ends that different entries saw, also by those of before a restart", () => {
    const { entries } = newFleet(["a", "b"]);
    const [first, second] = entries as [Quarantine, Quarantine];
    endUnder(first, 3, DEADLY);
    endUnder(second, 1, DEADLY);
    const restarted = newFleet(["a"]).entries[0]!;
    restarted.restore(first.toRecord());
    second.applyEndRecords([restarted.toRecord(), second.toRecord()]);
    expect(isBarred(second, DEADLY)).to.equal(true);
  });

  it("is acquitted by each run that survives", () => {
    const { entry } = newEntry();
    for (let at = 0; at < 20; at += 1) {
      endUnder(entry, PART_ENDS_TO_BAR - 1, SHARED);
      expect(entry.recordCompletion([SHARED]).cleared.size).to.equal(1);
    }
    expect(isBarred(entry, SHARED)).to.equal(false);
  });

  it("is not barred where all replicas end at once under runs that did well until then", () => {
    const { clock, entry } = newEntry();
    entry.recordCompletion([SHARED]);
    clock.now += 50;
    endUnder(entry, 8, SHARED);
    expect(isBarred(entry, SHARED)).to.equal(false);
    clock.now += RECENT_SURVIVAL_MS;
    endUnder(entry, 1, SHARED);
    expect(isBarred(entry, SHARED)).to.equal(true);
  });
});

describe("a part that was on replicas which ended at once", () => {
  const endAtOnce = (entry: Quarantine): void => {
    for (let at = 0; at < 8; at += 1) {
      const suspect = { ...request(SHARED), agoMs: at * 100 };
      entry.recordReplicaEnd([suspect], `domain-${at}`);
    }
  };

  it("is not barred, however late their ends are known", () => {
    const { clock, entry } = newEntry();
    endAtOnce(entry);
    expect(isBarred(entry, SHARED)).to.equal(false);
    clock.now += 3000;
    const late = { ...request(SHARED), agoMs: 3000 };
    entry.recordReplicaEnd([late], "found-late");
    expect(isBarred(entry, SHARED)).to.equal(false);
  });

  it("is barred by one more end after that", () => {
    const { clock, entry } = newEntry();
    endAtOnce(entry);
    clock.now += 3000;
    endUnder(entry, 1, SHARED);
    expect(isBarred(entry, SHARED)).to.equal(true);
  });
});

describe("a run that completed before its replica ended", () => {
  it("does not acquit its parts", () => {
    const { clock, entry } = newEntry();
    for (let at = 0; at < PART_ENDS_TO_BAR; at += 1) {
      const completion = entry.recordCompletion([DEADLY]);
      clock.now += ENDS_INTERVAL_MS;
      entry.takeBack(completion);
      endUnder(entry, 1, DEADLY);
    }
    expect(isBarred(entry, DEADLY)).to.equal(true);
  });

  it("leaves the acquittal by another run as it was", () => {
    const { clock, entry } = newEntry();
    const completion = entry.recordCompletion([SHARED]);
    clock.now += 100;
    entry.recordCompletion([SHARED]);
    entry.takeBack(completion);
    endUnder(entry, PART_ENDS_TO_BAR, SHARED);
    expect(isBarred(entry, SHARED)).to.equal(false);
  });
});

describe("a barred part", () => {
  const barred = () => {
    const { clock, entry } = newEntry();
    endUnder(entry, PART_ENDS_TO_BAR, DEADLY);
    return { clock, entry };
  };

  const tryOnce = (entry: Quarantine, hasSurvived: boolean): void => {
    const verdict = entry.requestVerdict([DEADLY], 2);
    if (verdict.kind !== "may-try") throw new Error(verdict.kind);
    const trial = entry.startTrial(verdict.records[0]!, 1);
    entry.applyRecords([trial]);
    expect(entry.requestVerdict([DEADLY], 2).kind).to.equal("refused");
    const outcome = { sends: 1, hasSurvived };
    entry.applyRecords([entry.finishTrial(trial, 1, outcome)]);
  };

  it("is tried again and again, after longer and longer delays", () => {
    const { clock, entry } = barred();
    for (const delayMs of PART_TRIAL_DELAYS_MS) {
      clock.now += delayMs - 1;
      expect(entry.requestVerdict([DEADLY], 2).kind).to.equal("refused");
      clock.now += 1;
      tryOnce(entry, false);
    }
  });

  it("has a single trial in its first minute, whatever callers send", () => {
    const { clock, entry } = barred();
    let trials = 0;
    for (const end = clock.now + MINUTE_MS; clock.now < end; clock.now += 100) {
      if (entry.requestVerdict([DEADLY], 2).kind !== "may-try") continue;
      trials += 1;
      tryOnce(entry, false);
    }
    expect(trials).to.equal(1);
  });

  it("is cleared by a trial that does well, at all entries", () => {
    const { clock, entry } = barred();
    const other = newFleet(["b"]).entries[0]!;
    other.applyRecords(entry.allRecords());
    expect(other.tracksParts).to.equal(true);
    clock.now += FIRST_DELAY_MS;
    tryOnce(entry, true);
    other.applyRecords(entry.allRecords());
    for (const each of [entry, other]) {
      expect(each.requestVerdict([DEADLY], 2).kind).to.equal("free");
      expect(each.tracksParts).to.equal(false);
    }
  });

  it("is not held by a trial whose process is lost", () => {
    const { clock, entry } = barred();
    clock.now += FIRST_DELAY_MS;
    const verdict = entry.requestVerdict([DEADLY], 2);
    if (verdict.kind !== "may-try") throw new Error(verdict.kind);
    entry.applyRecords([entry.startTrial(verdict.records[0]!, 1)]);
    clock.now += 60_000;
    expect(entry.requestVerdict([DEADLY], 2).kind).to.equal("may-try");
  });

  it("beside another one is tried by requests that have it alone first", () => {
    const { clock, entry } = barred();
    endUnder(entry, PART_ENDS_TO_BAR, SHARED);
    clock.now += FIRST_DELAY_MS;
    const both = [SHARED, DEADLY];
    expect(entry.requestVerdict(both, 2).kind).to.equal("refused");
    expect(entry.requestVerdict([SHARED], 2).kind).to.equal("may-try");
    clock.now += JOINT_TRIAL_DELAY_MS;
    const verdict = entry.requestVerdict(both, 2);
    if (verdict.kind !== "may-try") throw new Error(verdict.kind);
    expect(verdict.records.map(({ digest }) => digest)).to.eql(both);
  });

  it("is not pushed out by requests that are barred later", () => {
    const { entry } = barred();
    for (let at = 0; at < 200; at += 1) {
      const same = request();
      for (let end = 0; end < 3; end += 1)
        entry.recordReplicaEnd([same], `late-${at}-${end}`);
    }
    expect(isBarred(entry, DEADLY)).to.equal(true);
  });
});
