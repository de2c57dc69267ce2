/** The harm that the soak does: each fault strikes one target and heals. */
import type { Behaviour } from "../platform/standins/replica.js";
import type { StoreMode } from "../platform/standins/store.js";
import type { Rng } from "../src/shared/rng.js";
import { LINK_MODES } from "../standins/faultLink.js";
import { drawOne } from "./draw.js";
import type { DaemonProcess } from "./daemonProcess.js";
import type { SoakFleet, SoakReplica } from "./fleet.js";
import type { FaultRecord } from "./types.js";

/** What a fault needs while it lasts. */
interface Strike {
  fleet: SoakFleet;
  rng: Rng;
  /** Resolves after a time drawn between two bounds, ms. */
  last(leastMs: number, mostMs: number): Promise<void>;
  draw<T>(items: readonly T[]): T | undefined;
  /** Adds to the record of the fault which variant it is. */
  note(variant: string): void;
}

/** One kind of harm; nothing to strike: `target` is undefined. */
interface Fault<T> {
  name: string;
  /** Planned work must cut nothing. */
  isPlanned: boolean;
  target(strike: Strike): T | undefined;
  /** Names the target; two faults never strike the same one at once. */
  nameOf(target: T): string;
  /** Does harm, waits, and heals. */
  run(target: T, strike: Strike): Promise<void>;
}

/** Hides the type of the target, so that faults stand in one list. */
export interface AnyFault {
  name: string;
  isPlanned: boolean;
  prepare(
    strike: Strike,
  ): { target: string; run: () => Promise<void> } | undefined;
}

const fault = <T>(one: Fault<T>): AnyFault => ({
  name: one.name,
  isPlanned: one.isPlanned,
  prepare: (strike) => {
    const target = one.target(strike);
    if (target === undefined) return undefined;
    return {
      target: one.nameOf(target),
      run: () => one.run(target, strike),
    };
  },
});

const HARMFUL_MODES = LINK_MODES.filter((mode) => mode !== "pass");
const STORE_MODES: readonly StoreMode[] = ["busy", "silent", "lost"];
const MISBEHAVIOURS: readonly Behaviour[] = [
  "refuse",
  "fail",
  "fail-503",
  "reset",
  "reset-unframed",
  "cut-event",
  "crossed",
  "hang",
  "stall",
];
/** Back-offs that replicas ask for, as written; the last can't be read. */
const BACK_OFFS = ["0.3", "1", "2.5", "0", "later"] as const;
const LINK_DELAY_MS = 200;
const MISBEHAVING_SHARE = 0.4;
/** A leaving replica serves on for this long, ms, and a little longer. */
const LEAVE_MS = 4500;

const ofProcess = ({ id }: DaemonProcess): string => id;
const ofReplica = ({ standin }: SoakReplica): string => standin.options.id;
const anyProcess = ({ fleet, draw }: Strike) => draw(fleet.processes);
const anyReplica = ({ fleet, draw }: Strike) => draw(fleet.replicas);

const processFault = (
  name: string,
  run: (target: DaemonProcess, strike: Strike) => Promise<void>,
): AnyFault =>
  fault({
    name,
    isPlanned: false,
    target: anyProcess,
    nameOf: ofProcess,
    run,
  });

const PLANNED: readonly AnyFault[] = [
  fault({
    name: "process stopped",
    isPlanned: true,
    target: anyProcess,
    nameOf: ofProcess,
    run: async (target) => {
      await target.stop();
      await target.start();
    },
  }),
  fault({
    name: "settings changed",
    isPlanned: true,
    target: anyProcess,
    nameOf: ofProcess,
    run: async (target) => target.signal("SIGHUP"),
  }),
  fault({
    name: "configuration changed",
    isPlanned: true,
    target: () => "configuration",
    nameOf: (name) => name,
    run: async (_target, { fleet }) => fleet.changeConfig(),
  }),
  fault({
    name: "replica replaced",
    isPlanned: true,
    target: anyReplica,
    nameOf: ofReplica,
    run: async (target, { fleet, last }) => {
      const { now, records } = fleet;
      const subject = ofReplica(target);
      await fleet.addReplica(target.place);
      target.standin.isLeaving = true;
      fleet.relist(target, "draining");
      records.news.push({ kind: "leaving", subject, at: now() });
      await last(LEAVE_MS, LEAVE_MS);
      fleet.unlist(target);
      fleet.removeReplica(target);
    },
  }),
];

const UNPLANNED: readonly AnyFault[] = [
  processFault("process killed", async (target, { last }) => {
    await target.kill();
    await last(100, 1500);
    await target.start();
  }),
  processFault("process paused", async (target, { last }) => {
    target.signal("SIGSTOP");
    await last(200, 4000);
    target.signal("SIGCONT");
  }),
  processFault("store link", async ({ id }, { fleet, draw, last, note }) => {
    const mode = draw(HARMFUL_MODES) ?? "cut";
    note(mode);
    fleet.storeLinks.get(id)?.set({ mode, delayMs: LINK_DELAY_MS });
    await last(300, 3500);
    fleet.storeLinks.get(id)?.set({ mode: "pass" });
  }),
  fault({
    name: "replica link",
    isPlanned: false,
    target: anyReplica,
    nameOf: ofReplica,
    run: async ({ link }, { draw, last, note }) => {
      const mode = draw(HARMFUL_MODES) ?? "cut";
      note(mode);
      link.set({ mode, delayMs: LINK_DELAY_MS });
      await last(200, 2500);
      link.set({ mode: "pass" });
    },
  }),
  fault({
    name: "replica misbehaves",
    isPlanned: false,
    target: anyReplica,
    nameOf: ofReplica,
    run: async (target, { draw, last, note }) => {
      const behaviour = draw(MISBEHAVIOURS) ?? "fail";
      note(behaviour);
      target.misbehaviour = { behaviour, share: MISBEHAVING_SHARE };
      await last(300, 3000);
      target.misbehaviour = undefined;
    },
  }),
  fault({
    name: "replica crashed",
    isPlanned: false,
    target: anyReplica,
    nameOf: ofReplica,
    run: async (target, { fleet, last }) => {
      fleet.removeReplica(target);
      await last(100, 2000);
      fleet.unlist(target);
      await fleet.addReplica(target.place);
    },
  }),
  fault({
    name: "store in trouble",
    isPlanned: false,
    target: () => "store",
    nameOf: (name) => name,
    run: async (_target, { fleet, draw, last, note }) => {
      const mode = draw(STORE_MODES) ?? "busy";
      note(mode);
      fleet.store.mode = mode;
      await last(300, 3500);
      fleet.store.mode = "up";
    },
  }),
  fault({
    name: "entries lapse in an outage",
    isPlanned: false,
    target: () => "store",
    nameOf: (name) => name,
    run: async (_target, { fleet, rng, last }) => {
      fleet.store.mode = "silent";
      await last(800, 2000);
      const lapsed = fleet.replicas.filter(() => rng() < 0.5);
      for (const replica of lapsed) fleet.unlist(replica);
      fleet.store.mode = "up";
      await last(100, 1500);
      for (const replica of lapsed) fleet.relist(replica);
    },
  }),
  fault({
    name: "history forgotten",
    isPlanned: false,
    target: () => "store",
    nameOf: (name) => name,
    run: async (_target, { fleet }) => fleet.store.forgetHistory(),
  }),
];

/** What replicas say of themselves, and a store that forgets. */
const SIGNALS: readonly AnyFault[] = [
  fault({
    name: "replica asks for back-off",
    isPlanned: false,
    target: anyReplica,
    nameOf: ofReplica,
    run: async (target, { draw, last, note }) => {
      const backOff = draw(BACK_OFFS) ?? "1";
      note(backOff);
      target.standin.backOff = backOff;
      target.misbehaviour = { behaviour: "refuse", share: MISBEHAVING_SHARE };
      await last(300, 3000);
      target.misbehaviour = undefined;
    },
  }),
  fault({
    name: "replica leaves while the store is away",
    isPlanned: false,
    target: anyReplica,
    nameOf: ofReplica,
    run: async (target, { fleet, last }) => {
      const subject = ofReplica(target);
      await fleet.addReplica(target.place);
      fleet.store.mode = "busy";
      target.standin.isLeaving = true;
      target.state = "draining";
      await last(500, LEAVE_MS);
      fleet.store.mode = "up";
      fleet.relist(target, "draining");
      fleet.records.news.push({ kind: "leaving", subject, at: fleet.now() });
      await last(LEAVE_MS, LEAVE_MS);
      fleet.unlist(target);
      fleet.removeReplica(target);
    },
  }),
  fault({
    name: "store back from a copy",
    isPlanned: false,
    target: () => "store",
    nameOf: (name) => name,
    run: async (_target, { fleet, last }) => {
      const copy = fleet.store.copy();
      await last(500, 4000);
      fleet.store.mode = "silent";
      await last(100, 1000);
      fleet.store.restoreFrom(copy);
      fleet.store.mode = "up";
      await last(100, 1500);
      fleet.writeAgain();
    },
  }),
];

/** Limits that replicas name, requests a second. */
const LIMITS = [0, 0.5, 1.4, 4.3, 12] as const;
/** Limits that one replica names one after the other. */
const LIMIT_CHANGES = 3;

const LIMITED: readonly AnyFault[] = [
  fault({
    name: "replica names a limit",
    isPlanned: false,
    target: anyReplica,
    nameOf: ofReplica,
    run: async (target, { fleet, draw, last, note }) => {
      const named = Array.from(
        { length: LIMIT_CHANGES },
        () => draw(LIMITS) ?? 1,
      );
      note(named.join(" "));
      for (const perS of named) {
        fleet.setLimit(target, perS);
        await last(2500, 5000);
      }
      fleet.setLimit(target, undefined);
    },
  }),
];

/**
 * `planned`: nothing but planned work; `signals` and `limits`: those faults
 * besides all.
 */
export type FaultProfile = "planned" | "all" | "signals" | "limits";

const FAULTS: Readonly<Record<FaultProfile, readonly AnyFault[]>> = {
  planned: PLANNED,
  all: [...PLANNED, ...UNPLANNED],
  signals: [...PLANNED, ...UNPLANNED, ...SIGNALS, ...SIGNALS],
  limits: [...PLANNED, ...UNPLANNED, ...Array(8).fill(LIMITED).flat()],
};

export const faultsOf = (profile: FaultProfile): readonly AnyFault[] =>
  FAULTS[profile];

/** Strikes at times drawn from the seed until it is over; faults overlap. */
export class FaultInjector {
  private readonly struck = new Set<string>();
  private readonly running = new Set<Promise<void>>();

  constructor(
    private readonly fleet: SoakFleet,
    private readonly faults: readonly AnyFault[],
    private readonly rng: Rng,
  ) {}

  async run(
    isOver: () => boolean,
    pauseMs: { least: number; most: number },
  ): Promise<void> {
    while (!isOver()) {
      await this.last(pauseMs.least, pauseMs.most);
      this.strike();
    }
    await Promise.all(this.running);
  }

  private strike(): void {
    const { fleet, rng } = this;
    const draw = <T>(items: readonly T[]) => drawOne(items, rng);
    const last = (leastMs: number, mostMs: number) =>
      this.last(leastMs, mostMs);
    const chosen = draw(this.faults);
    const record: FaultRecord = {
      name: "",
      variant: "",
      target: "",
      from: fleet.now(),
      until: Infinity,
      isPlanned: false,
    };
    const note = (variant: string) => void (record.variant = variant);
    const prepared = chosen?.prepare({ fleet, rng, last, draw, note });
    if (chosen === undefined || prepared === undefined) return;
    const { target, run } = prepared;
    if (this.struck.has(target)) return;
    const { name, isPlanned } = chosen;
    Object.assign(record, { name, target, isPlanned });
    fleet.records.faults.push(record);
    this.struck.add(target);
    const ended = run().finally(() => {
      record.until = fleet.now();
      this.struck.delete(target);
      this.running.delete(ended);
    });
    this.running.add(ended);
  }

  private last(leastMs: number, mostMs: number): Promise<void> {
    const ms = leastMs + (mostMs - leastMs) * this.rng();
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
