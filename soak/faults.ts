/** Faults that the soak injects: each hits one target and is then reverted. */
import type { NamedBehaviour } from "../platform/standins/replica.js";
import type { StoreMode } from "../platform/standins/store.js";
import type { Rng } from "../src/shared/rng.js";
import { LINK_MODES } from "../standins/faultLink.js";
import { drawOne } from "./draw.js";
import type { DaemonProcess } from "./daemonProcess.js";
import { ENDED_KINDS, startCrowd, UNENDED_KINDS } from "./hostileCrowd.js";
import type { SoakFleet, SoakReplica } from "./fleet.js";
import type { FaultRecord } from "./types.js";

/** What a fault can use while it lasts. */
interface FaultContext {
  fleet: SoakFleet;
  rng: Rng;
  /** Resolves after a random time between two bounds, ms. */
  wait(minMs: number, maxMs: number): Promise<void>;
  draw<T>(items: readonly T[]): T | undefined;
  /** Sets the variant in the record of the fault. */
  setVariant(variant: string): void;
}

/** One kind of fault. */
interface Fault<T> {
  name: string;
  /** Planned work must not cut any request. */
  isPlanned: boolean;
  /** Chooses what to hit; undefined if there is nothing. */
  target(context: FaultContext): T | undefined;
  /** Id of the target; two faults never hit the same target at once. */
  nameOf(target: T): string;
  /** Injects the fault, waits, and reverts it. */
  run(target: T, context: FaultContext): Promise<void>;
}

/** A fault without the type of its target, so that one list holds all. */
export interface AnyFault {
  name: string;
  isPlanned: boolean;
  prepare(
    context: FaultContext,
  ): { target: string; run: () => Promise<void> } | undefined;
}

const defineFault = <T>(fault: Fault<T>): AnyFault => ({
  name: fault.name,
  isPlanned: fault.isPlanned,
  prepare: (context) => {
    const target = fault.target(context);
    if (target === undefined) return undefined;
    return {
      target: fault.nameOf(target),
      run: () => fault.run(target, context),
    };
  },
});

const FAULT_MODES = LINK_MODES.filter((mode) => mode !== "pass");
const STORE_MODES: readonly StoreMode[] = ["busy", "silent", "lost"];
const MISBEHAVIOURS: readonly NamedBehaviour[] = [
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
/** Retry-After values that replicas send; the last one is invalid. */
const BACK_OFFS = ["0.3", "1", "2.5", "0", "later"] as const;
const LINK_DELAY_MS = 200;
const MISBEHAVING_SHARE = 0.4;
/** How long a leaving replica continues to serve, ms. */
const LEAVING_MS = 4500;
/** How often one entry ends in a series. */
const SHORT_LIVES_IN_SERIES = 5;
/** How often the store cuts the waiting watches in a series. */
const WATCH_CUTS_IN_SERIES = 4;
/** Connections of a crowd of clients, and how long it stays, s. */
const CROWD_SIZES = [5, 20, 60, 150] as const;
const CROWD_SECONDS = [0.5, 1, 2] as const;

const processId = ({ id }: DaemonProcess): string => id;
const replicaId = ({ standin }: SoakReplica): string => standin.options.id;
const anyProcess = ({ fleet, draw }: FaultContext) => draw(fleet.processes);
const anyReplica = ({ fleet, draw }: FaultContext) => draw(fleet.replicas);

const processFault = (
  name: string,
  run: (target: DaemonProcess, context: FaultContext) => Promise<void>,
): AnyFault =>
  defineFault({
    name,
    isPlanned: false,
    target: anyProcess,
    nameOf: processId,
    run,
  });

/** For a while, a replica treats a share of its requests in one of these ways. */
const misbehaviourFault = (
  name: string,
  behaviours: readonly NamedBehaviour[],
  isPlanned = false,
): AnyFault =>
  defineFault({
    name,
    isPlanned,
    target: anyReplica,
    nameOf: replicaId,
    run: async (target, { draw, wait, setVariant }) => {
      const behaviour = draw(behaviours) ?? "fail";
      setVariant(behaviour);
      target.misbehaviour = { behaviour, share: MISBEHAVING_SHARE };
      await wait(300, 3000);
      target.misbehaviour = undefined;
    },
  });

const killForAWhile = async (
  target: DaemonProcess,
  { wait }: FaultContext,
): Promise<void> => {
  await target.kill();
  await wait(100, 1500);
  await target.start();
};

const PLANNED: readonly AnyFault[] = [
  defineFault({
    name: "process stopped",
    isPlanned: true,
    target: anyProcess,
    nameOf: processId,
    run: async (target) => {
      await target.stop();
      await target.start();
    },
  }),
  defineFault({
    name: "settings changed",
    isPlanned: true,
    target: anyProcess,
    nameOf: processId,
    run: async (target) => target.signal("SIGHUP"),
  }),
  defineFault({
    name: "configuration changed",
    isPlanned: true,
    target: () => "configuration",
    nameOf: (name) => name,
    run: async (_target, { fleet }) => fleet.changeConfig(),
  }),
  defineFault({
    name: "replica replaced",
    isPlanned: true,
    target: anyReplica,
    nameOf: replicaId,
    run: async (target, { fleet, wait }) => {
      const { now, records } = fleet;
      const subject = replicaId(target);
      await fleet.addReplica(target.baseId);
      target.standin.isLeaving = true;
      fleet.register(target, "draining");
      records.news.push({ kind: "leaving", subject, at: now() });
      await wait(LEAVING_MS, LEAVING_MS);
      fleet.unlist(target);
      fleet.removeReplica(target);
    },
  }),
];

const UNPLANNED: readonly AnyFault[] = [
  processFault("process killed", killForAWhile),
  processFault("process paused", async (target, { wait }) => {
    target.signal("SIGSTOP");
    await wait(200, 4000);
    target.signal("SIGCONT");
  }),
  processFault(
    "store link",
    async ({ id }, { fleet, draw, wait, setVariant }) => {
      const mode = draw(FAULT_MODES) ?? "cut";
      setVariant(mode);
      fleet.storeLinks.get(id)?.set({ mode, delayMs: LINK_DELAY_MS });
      await wait(300, 3500);
      fleet.storeLinks.get(id)?.set({ mode: "pass" });
    },
  ),
  defineFault({
    name: "replica link",
    isPlanned: false,
    target: anyReplica,
    nameOf: replicaId,
    run: async ({ link }, { draw, wait, setVariant }) => {
      const mode = draw(FAULT_MODES) ?? "cut";
      setVariant(mode);
      link.set({ mode, delayMs: LINK_DELAY_MS });
      await wait(200, 2500);
      link.set({ mode: "pass" });
    },
  }),
  misbehaviourFault("replica misbehaves", MISBEHAVIOURS),
  defineFault({
    name: "replica crashed",
    isPlanned: false,
    target: anyReplica,
    nameOf: replicaId,
    run: async (target, { fleet, wait }) => {
      fleet.removeReplica(target);
      await wait(100, 2000);
      fleet.unlist(target);
      await fleet.addReplica(target.baseId);
    },
  }),
  defineFault({
    name: "store in trouble",
    isPlanned: false,
    target: () => "store",
    nameOf: (name) => name,
    run: async (_target, { fleet, draw, wait, setVariant }) => {
      const mode = draw(STORE_MODES) ?? "busy";
      setVariant(mode);
      fleet.store.mode = mode;
      await wait(300, 3500);
      fleet.store.mode = "up";
    },
  }),
  defineFault({
    name: "entries lapse in an outage",
    isPlanned: false,
    target: () => "store",
    nameOf: (name) => name,
    run: async (_target, { fleet, rng, wait }) => {
      fleet.store.mode = "silent";
      await wait(800, 2000);
      const lapsed = fleet.replicas.filter(() => rng() < 0.5);
      for (const replica of lapsed) fleet.unlist(replica);
      fleet.store.mode = "up";
      await wait(100, 1500);
      for (const replica of lapsed) fleet.register(replica);
    },
  }),
  defineFault({
    name: "history forgotten",
    isPlanned: false,
    target: () => "store",
    nameOf: (name) => name,
    run: async (_target, { fleet }) => fleet.store.forgetHistory(),
  }),
];

/** Back-off and leaving signals of replicas, and a store that loses writes. */
const SIGNALS: readonly AnyFault[] = [
  defineFault({
    name: "replica asks for back-off",
    isPlanned: false,
    target: anyReplica,
    nameOf: replicaId,
    run: async (target, { draw, wait, setVariant }) => {
      const backOff = draw(BACK_OFFS) ?? "1";
      setVariant(backOff);
      target.standin.backOff = backOff;
      target.misbehaviour = { behaviour: "refuse", share: MISBEHAVING_SHARE };
      await wait(300, 3000);
      target.misbehaviour = undefined;
    },
  }),
  defineFault({
    name: "replica leaves while the store is away",
    isPlanned: false,
    target: anyReplica,
    nameOf: replicaId,
    run: async (target, { fleet, wait }) => {
      const subject = replicaId(target);
      await fleet.addReplica(target.baseId);
      fleet.store.mode = "busy";
      target.standin.isLeaving = true;
      target.state = "draining";
      await wait(500, LEAVING_MS);
      fleet.store.mode = "up";
      fleet.register(target, "draining");
      fleet.records.news.push({ kind: "leaving", subject, at: fleet.now() });
      await wait(LEAVING_MS, LEAVING_MS);
      fleet.unlist(target);
      fleet.removeReplica(target);
    },
  }),
  defineFault({
    name: "store back from a copy",
    isPlanned: false,
    target: () => "store",
    nameOf: (name) => name,
    run: async (_target, { fleet, wait }) => {
      const copy = fleet.store.copy();
      await wait(500, 4000);
      fleet.store.mode = "silent";
      await wait(100, 1000);
      fleet.store.restoreFrom(copy);
      fleet.store.mode = "up";
      await wait(100, 1500);
      fleet.rewriteStore();
    },
  }),
];

/** All open connections go silent at once, and new ones work. */
const SILENCED: readonly AnyFault[] = [
  defineFault({
    name: "open connections go silent",
    isPlanned: false,
    target: () => "connections",
    nameOf: (name) => name,
    run: async (_target, { fleet }) => {
      const replicaLinks = fleet.replicas.map(({ link }) => link);
      for (const link of [...fleet.storeLinks.values(), ...replicaLinks])
        link.silenceConnections();
    },
  }),
];

/** Limits that replicas name, requests per second. */
const LIMITS = [0, 0.5, 1.4, 4.3, 12] as const;
/** Number of limits that one replica names in succession. */
const LIMIT_CHANGES = 3;

const LIMITED: readonly AnyFault[] = [
  defineFault({
    name: "replica names a limit",
    isPlanned: false,
    target: anyReplica,
    nameOf: replicaId,
    run: async (target, { fleet, draw, wait, setVariant }) => {
      const named = Array.from(
        { length: LIMIT_CHANGES },
        () => draw(LIMITS) ?? 1,
      );
      setVariant(named.join(" "));
      for (const perS of named) {
        fleet.setLimit(target, perS);
        await wait(2500, 5000);
      }
      fleet.setLimit(target, undefined);
    },
  }),
];

/** Streams are cut in many places, while engines and entries go. */
const CUT_STREAMS: readonly AnyFault[] = [
  defineFault({
    name: "all engines cut streams",
    isPlanned: false,
    target: () => "engines",
    nameOf: (name) => name,
    run: async (_target, { fleet, rng, wait }) => {
      const engines = fleet.replicas.filter(
        ({ standin }) => standin.options.stage,
      );
      const misbehaviour = { behaviour: "cut-event", share: rng() } as const;
      for (const engine of engines) engine.misbehaviour = misbehaviour;
      await wait(500, 2000);
      for (const engine of engines) engine.misbehaviour = undefined;
    },
  }),
  defineFault({
    name: "entry killed while streams are cut",
    isPlanned: false,
    target: ({ fleet, draw }) => draw(fleet.entries),
    nameOf: processId,
    run: killForAWhile,
  }),
];

/** Responses of every framing that break off anywhere. */
const ENDINGS: readonly AnyFault[] = [
  defineFault({
    name: "replica breaks answers off",
    isPlanned: false,
    target: anyReplica,
    nameOf: replicaId,
    run: async (target, { rng, wait }) => {
      target.misbehaviour = { behaviour: "break off", share: rng() / 2 };
      await wait(500, 3000);
      target.misbehaviour = undefined;
    },
  }),
];

const FOREIGN_REPLIES: readonly NamedBehaviour[] = [
  "foreign-refusal",
  "foreign-refusal",
  "crossed",
  "endless-head",
  "endless-body",
];

/** Replies of other requests, and bytes that are no reply and do not end. */
const REPLIES: readonly AnyFault[] = [
  misbehaviourFault(
    "replica sends what is no reply of its request",
    FOREIGN_REPLIES,
  ),
];

/** A prompt part that ends each engine that writes an answer on it. */
const DEADLY_PARTS: readonly AnyFault[] = [
  defineFault({
    name: "prompt part ends engines",
    isPlanned: false,
    target: () => "prompt part",
    nameOf: (name) => name,
    run: async (_target, { fleet, wait }) => {
      fleet.deadlyPart = `dead-${fleet.records.faults.length}`;
      await wait(9000, 12_000);
    },
  }),
];

/** Entries end again and again while replicas refuse most requests. */
const SHORT_LIVES: readonly AnyFault[] = [
  defineFault({
    name: "entry ends again and again",
    isPlanned: false,
    target: ({ fleet, draw }) => draw(fleet.entries),
    nameOf: processId,
    run: async (target, { draw, wait, setVariant }) => {
      const how = draw(["kill", "stop"] as const) ?? "kill";
      setVariant(how);
      for (let life = 0; life < SHORT_LIVES_IN_SERIES; life += 1) {
        await (how === "kill" ? target.kill() : target.stop());
        await target.start();
        await wait(100, 900);
      }
    },
  }),
  defineFault({
    name: "all replicas refuse",
    isPlanned: false,
    target: () => "replicas",
    nameOf: (name) => name,
    run: async (_target, { fleet, wait }) => {
      const struck = [...fleet.replicas];
      const misbehaviour = { behaviour: "refuse", share: 0.9 } as const;
      for (const replica of struck) replica.misbehaviour = misbehaviour;
      await wait(2000, 8000);
      for (const replica of struck) replica.misbehaviour = undefined;
    },
  }),
];

/** Clients that keep to no limit, at any entry, also while faults strike it. */
const HOSTILE_CLIENTS: readonly AnyFault[] = [
  defineFault({
    name: "clients keep to no limit",
    isPlanned: false,
    target: ({ fleet, draw }) =>
      draw(fleet.entries.filter(({ callerAddress }) => callerAddress)),
    nameOf: ({ id }) => `clients of ${id}`,
    run: async (target, { draw, setVariant }) => {
      const kind = draw([...UNENDED_KINDS, ...ENDED_KINDS]) ?? "silent";
      const isAtReady = draw([true, false, false]) ?? false;
      setVariant(isAtReady ? `${kind} at ready` : kind);
      const { callerAddress, readyAddress } = target;
      const address = (isAtReady ? readyAddress : callerAddress) ?? "";
      const connections = draw(CROWD_SIZES) ?? 1;
      const seconds = draw(CROWD_SECONDS) ?? 1;
      const crowd = await startCrowd(kind, address, connections, seconds);
      await crowd.ended;
    },
  }),
];

/**
 * What the platform does without a fault of its own. Requests that are never
 * answered outlast the grace of processes that stop.
 */
const CALM: readonly AnyFault[] = [
  defineFault({
    name: "waiting watches cut",
    isPlanned: true,
    target: () => "watches",
    nameOf: (name) => name,
    run: async (_target, { fleet, wait }) => {
      for (let cut = 0; cut < WATCH_CUTS_IN_SERIES; cut += 1) {
        fleet.store.cutWatches();
        await wait(100, 1200);
      }
    },
  }),
  defineFault({
    name: "replica removed from the list",
    isPlanned: true,
    target: anyReplica,
    nameOf: replicaId,
    run: async (target, { fleet, wait }) => {
      await fleet.addReplica(target.baseId);
      fleet.unlistForGood(target);
      await wait(LEAVING_MS, LEAVING_MS);
      fleet.removeReplica(target);
    },
  }),
  defineFault({
    name: "store at another address",
    isPlanned: true,
    target: anyProcess,
    nameOf: processId,
    run: async (target, { fleet, wait }) => {
      const closeOld = await fleet.moveStoreLink(target);
      await wait(1000, 2000);
      closeOld();
    },
  }),
  misbehaviourFault("replica hangs", ["hang"], true),
];

/**
 * `planned`: planned work only; `calm`: also what the platform does in calm; the
 * others: those faults in addition to the ones of `all`.
 */
export type FaultProfile =
  | "planned"
  | "calm"
  | "all"
  | "signals"
  | "limits"
  | "silent"
  | "streams"
  | "endings"
  | "replies"
  | "parts"
  | "lives"
  | "clients";

const FAULTS: Readonly<Record<FaultProfile, readonly AnyFault[]>> = {
  planned: PLANNED,
  calm: [...PLANNED, ...CALM, ...CALM],
  all: [...PLANNED, ...UNPLANNED],
  signals: [...PLANNED, ...UNPLANNED, ...SIGNALS, ...SIGNALS],
  limits: [...PLANNED, ...UNPLANNED, ...Array(8).fill(LIMITED).flat()],
  silent: [...PLANNED, ...UNPLANNED, ...SILENCED, ...SILENCED],
  streams: [...PLANNED, ...UNPLANNED, ...Array(3).fill(CUT_STREAMS).flat()],
  endings: [...PLANNED, ...UNPLANNED, ...Array(12).fill(ENDINGS).flat()],
  replies: [...PLANNED, ...UNPLANNED, ...Array(12).fill(REPLIES).flat()],
  parts: [...PLANNED, ...UNPLANNED, ...Array(12).fill(DEADLY_PARTS).flat()],
  clients: [
    ...PLANNED,
    ...UNPLANNED,
    ...Array(12).fill(HOSTILE_CLIENTS).flat(),
  ],
  lives: [...PLANNED, ...UNPLANNED, ...Array(12).fill(SHORT_LIVES).flat()],
};

export const faultsOf = (profile: FaultProfile): readonly AnyFault[] =>
  FAULTS[profile];

/**
 * Injects faults at random times, drawn from the seed, until it is over. Faults
 * on different targets may overlap.
 */
export class FaultInjector {
  private readonly activeTargets = new Set<string>();
  private readonly running = new Set<Promise<void>>();

  constructor(
    private readonly fleet: SoakFleet,
    private readonly faults: readonly AnyFault[],
    private readonly rng: Rng,
  ) {}

  async run(
    isOver: () => boolean,
    pauseMs: { min: number; max: number },
  ): Promise<void> {
    while (!isOver()) {
      await this.wait(pauseMs.min, pauseMs.max);
      this.injectFault();
    }
    await Promise.all(this.running);
  }

  private injectFault(): void {
    const { fleet, rng } = this;
    const draw = <T>(items: readonly T[]) => drawOne(items, rng);
    const wait = (minMs: number, maxMs: number) => this.wait(minMs, maxMs);
    const chosen = draw(this.faults);
    const record: FaultRecord = {
      name: "",
      variant: "",
      target: "",
      from: fleet.now(),
      until: Infinity,
      isPlanned: false,
    };
    const setVariant = (variant: string) => void (record.variant = variant);
    const prepared = chosen?.prepare({ fleet, rng, wait, draw, setVariant });
    if (chosen === undefined || prepared === undefined) return;
    const { target, run } = prepared;
    if (this.activeTargets.has(target)) return;
    const { name, isPlanned } = chosen;
    Object.assign(record, { name, target, isPlanned });
    fleet.records.faults.push(record);
    this.activeTargets.add(target);
    const ended = run().finally(() => {
      record.until = fleet.now();
      this.activeTargets.delete(target);
      this.running.delete(ended);
    });
    this.running.add(ended);
  }

  private wait(minMs: number, maxMs: number): Promise<void> {
    const ms = minMs + (maxMs - minMs) * this.rng();
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
