/** Which requests are barred, and how an innocent one goes on. Pure. */
import { expect } from "chai";

import { Quarantine } from "../../src/quarantine/index.js";
import type { QuarantineRecord } from "../../src/quarantine/index.js";
import {
  SuspectTable,
  MAX_SUSPECTS,
  SUSPECT_RETENTION_MS,
} from "../../src/quarantine/suspectTable.js";
import {
  MAX_RECORDS,
  REPLICA_ENDS_TO_BAR,
  MAX_TRIAL_SENDS,
  TRIAL_DELAY_MS,
} from "../../src/quarantine/quarantine.js";

const DEADLY = "4.deadly";
const ENGINE_SENDS = 2;

/** Processes with one clock, and the bars that they would store. */
const fleet = () => {
  const clock = { now: 0 };
  const add = (name: string): Quarantine =>
    new Quarantine(
      name,
      () => clock.now,
      () => clock.now,
    );
  return { clock, add };
};

const lives = (count: number, from = 0): string[] =>
  Array.from({ length: count }, (_item, at) => `life-${from + at}`);

const endAll = (at: Quarantine, names: readonly string[]): void => {
  for (const life of names) at.recordReplicaEnd([DEADLY], life);
};

describe("a request under which replicas ended", () => {
  it("is barred after three lives, not before", () => {
    const { add } = fleet();
    const entry = add("a");
    endAll(entry, lives(REPLICA_ENDS_TO_BAR - 1));
    expect(entry.verdict(DEADLY, 1).kind).to.equal("free");
    endAll(entry, lives(1, REPLICA_ENDS_TO_BAR - 1));
    expect(entry.verdict(DEADLY, 1).kind).to.equal("refused");
  });

  it("is not barred by one life that is told many times", () => {
    const { add } = fleet();
    const entry = add("a");
    for (let at = 0; at < 10; at += 1)
      entry.recordReplicaEnd([DEADLY], "life-0");
    expect(entry.activeRecord(DEADLY)).to.equal(undefined);
  });

  it("is barred where each of three entries saw one end", () => {
    const { add } = fleet();
    const entries = lives(REPLICA_ENDS_TO_BAR).map((life) => {
      const entry = add(`entry of ${life}`);
      entry.recordReplicaEnd([DEADLY, `4.beside-${life}`], life);
      return entry;
    });
    const records = entries.map((entry) => entry.toRecord());
    entries[0]!.applyEndRecords(records);
    const bars = entries[0]!.allRecords();
    expect(bars.map(({ digest }) => digest)).to.deep.equal([DEADLY]);
    expect(bars[0]?.lives).to.have.members(lives(REPLICA_ENDS_TO_BAR));
  });

  it("counts what an earlier life of the entry had seen", () => {
    const { add } = fleet();
    const before = add("a");
    endAll(before, lives(2));
    const restarted = add("a");
    restarted.restore(before.toRecord());
    endAll(restarted, lives(1, 2));
    expect(restarted.activeRecord(DEADLY)).to.not.equal(undefined);
  });

  it("is told to others by its bar alone", () => {
    const { add } = fleet();
    const [first, second] = [add("a"), add("b")];
    endAll(first, lives(REPLICA_ENDS_TO_BAR));
    expect(second.applyRecords(first.allRecords())).to.have.length(1);
    expect(second.verdict(DEADLY, 1).kind).to.equal("refused");
    expect(second.applyRecords(first.allRecords())).to.have.length(0);
  });
});

describe("a trial of a barred request", () => {
  const barred = () => {
    const { clock, add } = fleet();
    const entry = add("a");
    endAll(entry, lives(REPLICA_ENDS_TO_BAR));
    clock.now += TRIAL_DELAY_MS;
    const verdict = entry.verdict(DEADLY, ENGINE_SENDS);
    if (verdict.kind !== "may-try") throw new Error(verdict.kind);
    return { clock, add, entry, bar: verdict.record };
  };

  it("waits until the ends that barred it are over", () => {
    const { clock, add } = fleet();
    const entry = add("a");
    endAll(entry, lives(REPLICA_ENDS_TO_BAR));
    clock.now += TRIAL_DELAY_MS - 1;
    expect(entry.verdict(DEADLY, ENGINE_SENDS).kind).to.equal("refused");
  });

  it("is one at a time", () => {
    const { entry, bar, add, clock } = barred();
    const trial = entry.startTrial(bar, ENGINE_SENDS);
    const other = add("b");
    for (const each of [entry, other]) {
      each.applyRecords([bar, trial]);
      clock.now += 60 * 60 * 1000;
      expect(each.verdict(DEADLY, 1).kind).to.equal("refused");
    }
  });

  it("lets one go on that survived it, and excuses the ends so far", () => {
    const { entry, bar, add } = barred();
    const trial = entry.startTrial(bar, ENGINE_SENDS);
    entry.applyRecords([trial]);
    const after = { sends: 2, hasSurvived: true };
    const cleared = entry.finishTrial(trial, ENGINE_SENDS, after);
    entry.applyRecords([cleared]);
    const other = add("b");
    endAll(other, lives(REPLICA_ENDS_TO_BAR));
    other.applyRecords([cleared]);
    for (const each of [entry, other]) {
      each.applyEndRecords([{ [DEADLY]: lives(REPLICA_ENDS_TO_BAR) }]);
      expect(each.verdict(DEADLY, 1).kind).to.equal("free");
      // New ends count from the start.
      endAll(each, lives(REPLICA_ENDS_TO_BAR, 10));
      expect(each.activeRecord(DEADLY)).to.not.equal(undefined);
    }
  });

  it("is the last one where its replica ended", () => {
    const { entry, bar, clock } = barred();
    const trial = entry.startTrial(bar, 1);
    entry.applyRecords([trial]);
    entry.recordReplicaEnd([DEADLY], "life-of-trial");
    const after = { sends: 1, hasSurvived: false };
    entry.applyRecords([entry.finishTrial(trial, 1, after)]);
    clock.now += 60 * 60 * 1000;
    expect(entry.verdict(DEADLY, 1).kind).to.equal("refused");
  });

  it("may come again where it was sent nowhere", () => {
    const { entry, bar, clock } = barred();
    const trial = entry.startTrial(bar, ENGINE_SENDS);
    entry.applyRecords([trial]);
    const after = { sends: 0, hasSurvived: false };
    entry.applyRecords([entry.finishTrial(trial, ENGINE_SENDS, after)]);
    clock.now += TRIAL_DELAY_MS;
    expect(entry.verdict(DEADLY, ENGINE_SENDS).kind).to.equal("may-try");
  });

  it("does not end by what ended under runs from before the bar", () => {
    const { entry, clock } = barred();
    entry.recordReplicaEnd([DEADLY], "life-late");
    clock.now += TRIAL_DELAY_MS;
    expect(entry.verdict(DEADLY, ENGINE_SENDS).kind).to.equal("may-try");
  });

  it("never takes more sends than are allowed for good", () => {
    const { entry, clock } = barred();
    let sends = 0;
    for (let at = 0; at < 100; at += 1) {
      clock.now += TRIAL_DELAY_MS;
      const verdict = entry.verdict(DEADLY, ENGINE_SENDS);
      if (verdict.kind !== "may-try") break;
      const trial = entry.startTrial(verdict.record, ENGINE_SENDS);
      entry.applyRecords([trial]);
      sends += 1;
      const after = { sends: 1, hasSurvived: false };
      entry.applyRecords([entry.finishTrial(trial, ENGINE_SENDS, after)]);
    }
    expect(sends).to.be.within(1, MAX_TRIAL_SENDS);
  });
});

describe("requests beside the cause", () => {
  it("are cleared by a run that leaves its replica alive", () => {
    const { add } = fleet();
    const entry = add("a");
    const popular = "4.popular";
    for (const life of lives(20)) {
      entry.recordReplicaEnd([popular], life);
      expect(entry.recordSurvival(popular)).to.equal(true);
    }
    expect(entry.activeRecord(popular)).to.equal(undefined);
    expect(entry.mayBeTracked(4)).to.equal(false);
  });

  it("are not barred, a thousand of them, where one is the cause", () => {
    const { add } = fleet();
    const entry = add("a");
    for (const life of lives(25)) {
      const beside = lives(40, 1000 + 40 * Number(life.slice(5)));
      entry.recordReplicaEnd(
        [...beside.map((name) => `9.${name}`), DEADLY],
        life,
      );
    }
    const barred = entry.allRecords().map(({ digest }) => digest);
    expect(barred).to.deep.equal([DEADLY]);
  });

  it("are told apart by the size of their body, without a digest", () => {
    const { add } = fleet();
    const entry = add("a");
    expect(entry.mayBeTracked(0)).to.equal(false);
    entry.recordReplicaEnd(["z.x"], "life-0");
    expect(entry.mayBeTracked(35)).to.equal(true);
    expect(entry.mayBeTracked(34)).to.equal(false);
  });
});

/*
 * Both errors at once: how many of a popular request are refused though it
 * is innocent, where all replicas end at the same moment.
 */
describe("a popular request beside a loss of all replicas", () => {
  const ENTRIES = 5;
  const REPLICAS = 8;
  /** Arrivals over all entries: one each so many ms. */
  const EACH_MS = 3;
  const BACK_AT_MS = 2000;
  const RUN_MS = 100;

  it("is refused no longer than one rest and one trial after their return", () => {
    const { clock, add } = fleet();
    const entries = Array.from({ length: ENTRIES }, (_item, at) =>
      add(`entry-${at}`),
    );
    const tell = (): void => {
      const bars = entries.flatMap((entry) => entry.allRecords());
      entries.forEach((entry) => entry.applyRecords(bars));
    };
    entries.forEach((entry) => endAll(entry, lives(REPLICAS)));
    tell();
    let refused = 0;
    let trial:
      { entry: Quarantine; bar: QuarantineRecord; endsAt: number } | undefined;
    for (; clock.now < 2 * BACK_AT_MS; clock.now += EACH_MS) {
      const isBack = clock.now >= BACK_AT_MS;
      if (trial !== undefined && clock.now >= trial.endsAt) {
        const { entry, bar } = trial;
        const outcome = { sends: isBack ? 2 : 0, hasSurvived: isBack };
        entry.applyRecords([entry.finishTrial(bar, ENGINE_SENDS, outcome)]);
        trial = undefined;
        tell();
      }
      const entry = entries[Math.floor(clock.now / EACH_MS) % ENTRIES]!;
      const verdict = entry.verdict(DEADLY, ENGINE_SENDS);
      if (verdict.kind === "may-try") {
        const bar = entry.startTrial(verdict.record, ENGINE_SENDS);
        entry.applyRecords([bar]);
        tell();
        trial = { entry, bar, endsAt: clock.now + (isBack ? RUN_MS : 0) };
      }
      if (verdict.kind === "refused" && isBack) refused += 1;
    }
    const most = (TRIAL_DELAY_MS + 2 * RUN_MS) / EACH_MS;
    expect(refused).to.be.within(1, most);
    const kinds = entries.map((entry) => entry.verdict(DEADLY, 1).kind);
    expect(new Set(kinds)).to.deep.equal(new Set(["free"]));
  });
});

describe("what is remembered", () => {
  it("stays bounded, and new bodies push out none that came again", () => {
    const ledger = new SuspectTable(() => 0);
    ledger.add([DEADLY], "life-0");
    ledger.add([DEADLY], "life-1");
    for (let at = 0; at < MAX_SUSPECTS * 4; at += 1) {
      ledger.add([`9.${at}`], `life-${at}`);
    }
    expect(ledger.size).to.equal(MAX_SUSPECTS);
    expect(ledger.incarnations(DEADLY).size).to.equal(2);
  });

  it("is forgotten some time after the last end", () => {
    const clock = { now: 0 };
    const ledger = new SuspectTable(() => clock.now);
    ledger.add([DEADLY], "life-0");
    clock.now = SUSPECT_RETENTION_MS - 1;
    ledger.add([DEADLY, "9.other"], "life-1");
    clock.now = 2 * SUSPECT_RETENTION_MS - 2;
    ledger.add(["9.new"], "life-2");
    expect(ledger.incarnations(DEADLY).size).to.equal(2);
    clock.now = 2 * SUSPECT_RETENTION_MS;
    ledger.add(["9.new"], "life-3");
    expect(ledger.incarnations(DEADLY).size).to.equal(0);
    expect(ledger.incarnations("9.new").size).to.equal(2);
  });

  it("keeps the same bars at each process, in whatever order they came", () => {
    const { add } = fleet();
    const bars = Array.from({ length: MAX_RECORDS + 9 }, (_item, at) => ({
      digest: `9.${at}`,
      state: "barred" as const,
      step: 1,
      lives: [],
      sends: 0,
      by: "b",
      at: at % 7,
    }));
    const [first, second] = [add("a"), add("b")];
    first.applyRecords(bars);
    second.applyRecords([...bars].reverse());
    const kept = (entry: Quarantine) =>
      entry.allRecords().map(({ digest }) => digest);
    expect(kept(first)).to.have.members(kept(second));
  });

  it("keeps a bounded number of bars, cleared ones least", () => {
    const { add } = fleet();
    const entry = add("a");
    const bar = (digest: string, state: "barred" | "cleared") => ({
      digest,
      state,
      step: 1,
      lives: [],
      sends: 0,
      by: "b",
      at: 0,
    });
    entry.applyRecords([bar(DEADLY, "barred")]);
    for (let at = 0; at < MAX_RECORDS * 3; at += 1) {
      entry.applyRecords([bar(`9.${at}`, "cleared")]);
    }
    expect(entry.allRecords()).to.have.length(MAX_RECORDS);
    expect(entry.activeRecord(DEADLY)).to.not.equal(undefined);
  });
});
