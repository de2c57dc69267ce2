/** When a request is quarantined, and how trials clear an innocent one. No I/O. */
import { expect } from "chai";

import { Quarantine } from "../../src/quarantine/index.js";
import type {
  QuarantineRecord,
  SuspectRequest,
} from "../../src/quarantine/index.js";
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
  TRIAL_TIMEOUT_MS,
  UNDECIDED_TRIAL_DELAY_MS,
  LATE_TRIAL_DELAY_MS,
  ENDS_SPAN_MS,
  RECENT_SURVIVAL_MS,
} from "../../src/quarantine/quarantine.js";

const CRASHING_DIGEST = "4.deadly";
const ENGINE_SENDS = 2;

/** Makes quarantines of several processes that share one clock. */
const newFleet = () => {
  const clock = { now: 0 };
  const add = (name: string): Quarantine =>
    new Quarantine(
      name,
      () => clock.now,
      () => clock.now,
    );
  return { clock, add };
};

const incarnationIds = (count: number, from = 0): string[] =>
  Array.from({ length: count }, (_item, at) => `life-${from + at}`);

const requests = (digests: readonly string[]): SuspectRequest[] =>
  digests.map((digest) => ({ digest, parts: [] }));

const recordEnds = (at: Quarantine, names: readonly string[]): void => {
  for (const incarnation of names)
    at.recordReplicaEnd(requests([CRASHING_DIGEST]), incarnation);
};

describe("a request during which replicas crashed", () => {
  it("is quarantined after three incarnations ended, not before", () => {
    const { add } = newFleet();
    const entry = add("a");
    recordEnds(entry, incarnationIds(REPLICA_ENDS_TO_BAR - 1));
    expect(entry.verdict(CRASHING_DIGEST, 1).kind).to.equal("free");
    recordEnds(entry, incarnationIds(1, REPLICA_ENDS_TO_BAR - 1));
    expect(entry.verdict(CRASHING_DIGEST, 1).kind).to.equal("refused");
  });

  it("is not quarantined by one incarnation's end reported many times", () => {
    const { add } = newFleet();
    const entry = add("a");
    for (let at = 0; at < 10; at += 1)
      entry.recordReplicaEnd(requests([CRASHING_DIGEST]), "life-0");
    expect(entry.activeRecord(CRASHING_DIGEST)).to.equal(undefined);
  });

  it("is quarantined when three entries each saw one end", () => {
    const { add } = newFleet();
    const entries = incarnationIds(REPLICA_ENDS_TO_BAR).map((incarnation) => {
      const entry = add(`entry of ${incarnation}`);
      entry.recordReplicaEnd(
        requests([CRASHING_DIGEST, `4.beside-${incarnation}`]),
        incarnation,
      );
      return entry;
    });
    const records = entries.map((entry) => entry.toRecord());
    entries[0]!.applyEndRecords(records);
    const quarantineRecords = entries[0]!.allRecords();
    expect(quarantineRecords.map(({ digest }) => digest)).to.deep.equal([
      CRASHING_DIGEST,
    ]);
    expect(quarantineRecords[0]?.lives).to.have.members(
      incarnationIds(REPLICA_ENDS_TO_BAR),
    );
  });

  it("keeps its count of ends over a restart of the entry", () => {
    const { add } = newFleet();
    const before = add("a");
    recordEnds(before, incarnationIds(2));
    const restarted = add("a");
    restarted.restore(before.toRecord());
    recordEnds(restarted, incarnationIds(1, 2));
    expect(restarted.activeRecord(CRASHING_DIGEST)).to.not.equal(undefined);
  });

  it("is refused by another entry once that has the quarantine record", () => {
    const { add } = newFleet();
    const [first, second] = [add("a"), add("b")];
    recordEnds(first, incarnationIds(REPLICA_ENDS_TO_BAR));
    expect(second.applyRecords(first.allRecords())).to.have.length(1);
    expect(second.verdict(CRASHING_DIGEST, 1).kind).to.equal("refused");
    expect(second.applyRecords(first.allRecords())).to.have.length(0);
  });
});

describe("a trial of a quarantined request", () => {
  const barred = () => {
    const { clock, add } = newFleet();
    const entry = add("a");
    recordEnds(entry, incarnationIds(REPLICA_ENDS_TO_BAR));
    clock.now += TRIAL_DELAY_MS;
    const verdict = entry.verdict(CRASHING_DIGEST, ENGINE_SENDS);
    if (verdict.kind !== "may-try") throw new Error(verdict.kind);
    return { clock, add, entry, quarantineRecord: verdict.records[0]! };
  };

  it("waits for the delay after the ends that quarantined the request", () => {
    const { clock, add } = newFleet();
    const entry = add("a");
    recordEnds(entry, incarnationIds(REPLICA_ENDS_TO_BAR));
    clock.now += TRIAL_DELAY_MS - 1;
    expect(entry.verdict(CRASHING_DIGEST, ENGINE_SENDS).kind).to.equal(
      "refused",
    );
  });

  it("runs one at a time across entries", () => {
    const { entry, quarantineRecord, add, clock } = barred();
    const trial = entry.startTrial(quarantineRecord, ENGINE_SENDS);
    const other = add("b");
    for (const each of [entry, other])
      each.applyRecords([quarantineRecord, trial]);
    clock.now += TRIAL_TIMEOUT_MS - 1;
    for (const each of [entry, other])
      expect(each.verdict(CRASHING_DIGEST, 1).kind).to.equal("refused");
  });

  it("is followed by one more if its process ended, at one entry", () => {
    const { entry, quarantineRecord, add, clock } = barred();
    const trial = entry.startTrial(quarantineRecord, ENGINE_SENDS);
    const others = [add("b"), add("c")];
    for (const each of others) each.applyRecords([quarantineRecord, trial]);
    clock.now += TRIAL_TIMEOUT_MS;
    const [first, second] = others;
    const verdict = first!.verdict(CRASHING_DIGEST, ENGINE_SENDS);
    if (verdict.kind !== "may-try") throw new Error(verdict.kind);
    const next = first!.startTrial(verdict.records[0]!, ENGINE_SENDS);
    for (const each of others) each.applyRecords([next]);
    for (const each of others)
      expect(each.verdict(CRASHING_DIGEST, ENGINE_SENDS).kind).to.equal(
        "refused",
      );
    // No third one in close succession.
    clock.now += UNDECIDED_TRIAL_DELAY_MS;
    expect(second!.verdict(CRASHING_DIGEST, ENGINE_SENDS).kind).to.equal(
      "refused",
    );
  });

  it("that leaves the replica running clears the request and discounts earlier ends", () => {
    const { entry, quarantineRecord, add } = barred();
    const trial = entry.startTrial(quarantineRecord, ENGINE_SENDS);
    entry.applyRecords([trial]);
    const after = { sends: 2, hasSurvived: true };
    const cleared = entry.finishTrial(trial, ENGINE_SENDS, after);
    entry.applyRecords([cleared]);
    const other = add("b");
    recordEnds(other, incarnationIds(REPLICA_ENDS_TO_BAR));
    other.applyRecords([cleared]);
    for (const each of [entry, other]) {
      each.applyEndRecords([
        { [CRASHING_DIGEST]: incarnationIds(REPLICA_ENDS_TO_BAR) },
      ]);
      expect(each.verdict(CRASHING_DIGEST, 1).kind).to.equal("free");
      // Ends after the clearing are counted from zero.
      recordEnds(each, incarnationIds(REPLICA_ENDS_TO_BAR, 10));
      expect(each.activeRecord(CRASHING_DIGEST)).to.not.equal(undefined);
    }
  });

  it("is the last one for ten minutes when its replica ended", () => {
    const { entry, quarantineRecord, clock } = barred();
    const trial = entry.startTrial(quarantineRecord, 1);
    entry.applyRecords([trial]);
    entry.recordReplicaEnd(requests([CRASHING_DIGEST]), "life-of-trial");
    const after = { sends: 1, hasSurvived: false };
    entry.applyRecords([entry.finishTrial(trial, 1, after)]);
    clock.now += LATE_TRIAL_DELAY_MS - 1;
    expect(entry.verdict(CRASHING_DIGEST, 1).kind).to.equal("refused");
    // A quarantine that nothing can lift would outlast the fault's cause.
    clock.now += 1;
    expect(entry.verdict(CRASHING_DIGEST, 1).kind).to.equal("may-try");
  });

  it("may be repeated when it was sent to no replica", () => {
    const { entry, quarantineRecord, clock } = barred();
    const trial = entry.startTrial(quarantineRecord, ENGINE_SENDS);
    entry.applyRecords([trial]);
    const after = { sends: 0, hasSurvived: false };
    entry.applyRecords([entry.finishTrial(trial, ENGINE_SENDS, after)]);
    clock.now += TRIAL_DELAY_MS;
    expect(entry.verdict(CRASHING_DIGEST, ENGINE_SENDS).kind).to.equal(
      "may-try",
    );
  });

  it("is not ruled out by a late end of a run from before the quarantine", () => {
    const { entry, clock } = barred();
    entry.recordReplicaEnd(requests([CRASHING_DIGEST]), "life-late");
    clock.now += TRIAL_DELAY_MS;
    expect(entry.verdict(CRASHING_DIGEST, ENGINE_SENDS).kind).to.equal(
      "may-try",
    );
  });

  it("never exceeds the number of sends allowed to trials in ten minutes", () => {
    const { entry, clock } = barred();
    let sends = 0;
    const until = clock.now + LATE_TRIAL_DELAY_MS;
    for (; clock.now < until; clock.now += TRIAL_DELAY_MS) {
      const verdict = entry.verdict(CRASHING_DIGEST, ENGINE_SENDS);
      if (verdict.kind !== "may-try") continue;
      const trial = entry.startTrial(verdict.records[0]!, ENGINE_SENDS);
      entry.applyRecords([trial]);
      sends += 1;
      const after = { sends: 1, hasSurvived: false };
      entry.applyRecords([entry.finishTrial(trial, ENGINE_SENDS, after)]);
    }
    expect(sends).to.be.within(1, MAX_TRIAL_SENDS);
  });
});

describe("innocent requests that ran beside the cause", () => {
  it("are cleared by a run that leaves its replica running", () => {
    const { add } = newFleet();
    const entry = add("a");
    const popular = "4.popular";
    for (const incarnation of incarnationIds(20)) {
      entry.recordReplicaEnd(requests([popular]), incarnation);
      expect(entry.recordCompletion([popular]).cleared.size).to.equal(1);
    }
    expect(entry.activeRecord(popular)).to.equal(undefined);
    expect(entry.mayBeTracked(4)).to.equal(false);
  });

  it("are not quarantined: of a thousand, only the cause is", () => {
    const { add } = newFleet();
    const entry = add("a");
    for (const incarnation of incarnationIds(25)) {
      const bystanders = incarnationIds(
        40,
        1000 + 40 * Number(incarnation.slice(5)),
      );
      entry.recordReplicaEnd(
        requests([...bystanders.map((name) => `9.${name}`), CRASHING_DIGEST]),
        incarnation,
      );
    }
    const barred = entry.allRecords().map(({ digest }) => digest);
    expect(barred).to.deep.equal([CRASHING_DIGEST]);
  });

  it("are ruled out by body size, without computing a digest", () => {
    const { add } = newFleet();
    const entry = add("a");
    expect(entry.mayBeTracked(0)).to.equal(false);
    entry.recordReplicaEnd(requests(["z.x"]), "life-0");
    expect(entry.mayBeTracked(35)).to.equal(true);
    expect(entry.mayBeTracked(34)).to.equal(false);
  });
});

describe("replicas that end together", () => {
  const newEntry = () => {
    const { clock, add } = newFleet();
    clock.now = 60_000;
    return { clock, entry: add("a") };
  };
  const survive = (entry: Quarantine) => entry.recordSurvival(CRASHING_DIGEST);

  it("are no witnesses against a request that did well until then", () => {
    const { clock, entry } = newEntry();
    survive(entry);
    clock.now += RECENT_SURVIVAL_MS;
    recordEnds(entry, incarnationIds(8));
    // News of the same ends, late.
    clock.now += 10_000;
    entry.applyEndRecords([entry.toRecord()]);
    expect(entry.activeRecord(CRASHING_DIGEST)).to.equal(undefined);
  });

  it("are witnesses against a request that never did well", () => {
    const { entry } = newEntry();
    recordEnds(entry, incarnationIds(REPLICA_ENDS_TO_BAR));
    expect(entry.activeRecord(CRASHING_DIGEST)).to.not.equal(undefined);
  });

  it("are witnesses against a request that did well long before", () => {
    const { clock, entry } = newEntry();
    survive(entry);
    clock.now += RECENT_SURVIVAL_MS + 1;
    recordEnds(entry, incarnationIds(REPLICA_ENDS_TO_BAR));
    expect(entry.activeRecord(CRASHING_DIGEST)).to.not.equal(undefined);
  });

  it("are witnesses once another one ends later", () => {
    const { clock, entry } = newEntry();
    survive(entry);
    recordEnds(entry, incarnationIds(REPLICA_ENDS_TO_BAR));
    clock.now += ENDS_SPAN_MS;
    recordEnds(entry, ["life-later"]);
    expect(entry.activeRecord(CRASHING_DIGEST)).to.not.equal(undefined);
  });

  it("are witnesses if only runs completed that ended their replicas behind them", () => {
    const { entry } = newEntry();
    const completed = [1, 2].map(() =>
      entry.recordCompletion([CRASHING_DIGEST]),
    );
    for (const completion of completed) entry.takeBack(completion);
    recordEnds(entry, incarnationIds(REPLICA_ENDS_TO_BAR));
    expect(entry.activeRecord(CRASHING_DIGEST)).to.not.equal(undefined);
  });
});

/*
 * When all replicas end at the same moment, a popular request that ran on them
 * is quarantined although it is innocent. Bounds how many of its arrivals are
 * refused after the replicas are back.
 */
describe("a popular request during a loss of all replicas", () => {
  const ENTRIES = 5;
  const REPLICAS = 8;
  /** Interval between arrivals, over all entries. */
  const ARRIVAL_INTERVAL_MS = 3;
  const REPLICAS_BACK_AT_MS = 2000;
  const RUN_MS = 100;

  it("is refused no longer than one trial delay and one trial after they return", () => {
    const { clock, add } = newFleet();
    const entries = Array.from({ length: ENTRIES }, (_item, at) =>
      add(`entry-${at}`),
    );
    const exchangeRecords = (): void => {
      const quarantineRecords = entries.flatMap((entry) => entry.allRecords());
      entries.forEach((entry) => entry.applyRecords(quarantineRecords));
    };
    entries.forEach((entry) => recordEnds(entry, incarnationIds(REPLICAS)));
    exchangeRecords();
    let refused = 0;
    let trial:
      | {
          entry: Quarantine;
          quarantineRecord: QuarantineRecord;
          endsAt: number;
        }
      | undefined;
    for (
      ;
      clock.now < 2 * REPLICAS_BACK_AT_MS;
      clock.now += ARRIVAL_INTERVAL_MS
    ) {
      const isBack = clock.now >= REPLICAS_BACK_AT_MS;
      if (trial !== undefined && clock.now >= trial.endsAt) {
        const { entry, quarantineRecord } = trial;
        const outcome = { sends: isBack ? 2 : 0, hasSurvived: isBack };
        entry.applyRecords([
          entry.finishTrial(quarantineRecord, ENGINE_SENDS, outcome),
        ]);
        trial = undefined;
        exchangeRecords();
      }
      const entry =
        entries[Math.floor(clock.now / ARRIVAL_INTERVAL_MS) % ENTRIES]!;
      const verdict = entry.verdict(CRASHING_DIGEST, ENGINE_SENDS);
      if (verdict.kind === "may-try") {
        const quarantineRecord = entry.startTrial(
          verdict.records[0]!,
          ENGINE_SENDS,
        );
        entry.applyRecords([quarantineRecord]);
        exchangeRecords();
        trial = {
          entry,
          quarantineRecord,
          endsAt: clock.now + (isBack ? RUN_MS : 0),
        };
      }
      if (verdict.kind === "refused" && isBack) refused += 1;
    }
    const maxRefused = (TRIAL_DELAY_MS + 2 * RUN_MS) / ARRIVAL_INTERVAL_MS;
    expect(refused).to.be.within(1, maxRefused);
    const kinds = entries.map(
      (entry) => entry.verdict(CRASHING_DIGEST, 1).kind,
    );
    expect(new Set(kinds)).to.deep.equal(new Set(["free"]));
  });
});

describe("the stored suspects and quarantine records", () => {
  it("stay bounded, and new suspects do not evict one seen twice", () => {
    const suspects = new SuspectTable(() => 0);
    suspects.add([CRASHING_DIGEST], "life-0");
    suspects.add([CRASHING_DIGEST], "life-1");
    for (let at = 0; at < MAX_SUSPECTS * 4; at += 1) {
      suspects.add([`9.${at}`], `life-${at}`);
    }
    expect(suspects.size).to.equal(MAX_SUSPECTS);
    expect(suspects.evidence(CRASHING_DIGEST).size).to.equal(2);
  });

  it("drop a suspect once the retention time has passed since its last end", () => {
    const clock = { now: 0 };
    const suspects = new SuspectTable(() => clock.now);
    suspects.add([CRASHING_DIGEST], "life-0");
    clock.now = SUSPECT_RETENTION_MS - 1;
    suspects.add([CRASHING_DIGEST, "9.other"], "life-1");
    clock.now = 2 * SUSPECT_RETENTION_MS - 2;
    suspects.add(["9.new"], "life-2");
    expect(suspects.evidence(CRASHING_DIGEST).size).to.equal(2);
    clock.now = 2 * SUSPECT_RETENTION_MS;
    suspects.add(["9.new"], "life-3");
    expect(suspects.evidence(CRASHING_DIGEST).size).to.equal(0);
    expect(suspects.evidence("9.new").size).to.equal(2);
  });

  it("are the same records at each process, in whatever order they arrived", () => {
    const { add } = newFleet();
    const quarantineRecords = Array.from(
      { length: MAX_RECORDS + 9 },
      (_item, at) => ({
        digest: `9.${at}`,
        state: "barred" as const,
        step: 1,
        lives: [],
        sends: 0,
        by: "b",
        at: at % 7,
      }),
    );
    const [first, second] = [add("a"), add("b")];
    first.applyRecords(quarantineRecords);
    second.applyRecords([...quarantineRecords].reverse());
    const kept = (entry: Quarantine) =>
      entry.allRecords().map(({ digest }) => digest);
    expect(kept(first)).to.have.members(kept(second));
  });

  it("stay bounded, and evict cleared records before barred ones", () => {
    const { add } = newFleet();
    const entry = add("a");
    const quarantineRecord = (digest: string, state: "barred" | "cleared") => ({
      digest,
      state,
      step: 1,
      lives: [],
      sends: 0,
      by: "b",
      at: 0,
    });
    entry.applyRecords([quarantineRecord(CRASHING_DIGEST, "barred")]);
    for (let at = 0; at < MAX_RECORDS * 3; at += 1) {
      entry.applyRecords([quarantineRecord(`9.${at}`, "cleared")]);
    }
    expect(entry.allRecords()).to.have.length(MAX_RECORDS);
    expect(entry.activeRecord(CRASHING_DIGEST)).to.not.equal(undefined);
  });
});
