/**
 * A deployment for the soak: entries and schedulers as processes; the store
 * and the replicas as stand-ins in this process, each behind a link that can
 * do harm, so that what ran is known for certain.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";

import { KINDS } from "../platform/names.js";
import { putConfig, removeFromList } from "../platform/standins/caller.js";
import { StandinReplica } from "../platform/standins/replica.js";
import type { Arrival, Behaviour } from "../platform/standins/replica.js";
import { StandinStore } from "../platform/standins/store.js";
import type { Rng } from "../src/shared/rng.js";
import { FaultLink } from "../standins/faultLink.js";
import { STREAM_EVENTS } from "./checks.js";
import { DaemonProcess } from "./daemonProcess.js";
import type { SoakRecords } from "./types.js";

export interface FleetSizes {
  entries: number;
  schedulers: number;
  plain: number;
  engines: number;
}

/** A replica, its link, and how it behaves to how many requests. */
export interface SoakReplica {
  standin: StandinReplica;
  link: FaultLink;
  /** Place that incarnations take one after the other. */
  place: string;
  misbehaviour: { behaviour: Behaviour; share: number } | undefined;
  /** As its entry in the store says, or would say. */
  state: "ready" | "draining";
}

const GRACE_MS = 3000;
const LEASE_MS = 1000;
const CONTACT_MS = 3000;
/** How long an engine takes to play another part, ms. */
const STAGE_CHANGE_MS = 300;
const ZONES = 3;

export class SoakFleet {
  readonly store = new StandinStore();
  readonly processes: DaemonProcess[] = [];
  readonly replicas: SoakReplica[] = [];
  /** Each process's way to the store. */
  readonly storeLinks = new Map<string, FaultLink>();
  readonly records: SoakRecords = {
    calls: [],
    probes: [],
    runs: [],
    arrivals: [],
    limits: [],
    orders: [],
    faults: [],
    news: [],
    stalls: [],
  };
  version = 0;
  private incarnations = 0;
  private readonly folder = mkdtempSync(path.join(tmpdir(), "snowgate-soak-"));

  constructor(
    private readonly rng: Rng,
    readonly now: () => number,
  ) {}

  get entries(): DaemonProcess[] {
    return this.processes.filter((item) => item.machine.role === "entry");
  }

  get schedulers(): DaemonProcess[] {
    return this.processes.filter((item) => item.machine.role === "scheduler");
  }

  async start(sizes: FleetSizes): Promise<void> {
    await this.store.start();
    this.changeConfig();
    for (let at = 0; at < sizes.plain; at += 1) {
      await this.addReplica(`plain-${at}`);
    }
    for (let at = 0; at < sizes.engines; at += 1) {
      await this.addReplica(`engine-${at}`);
    }
    for (let at = 0; at < sizes.entries; at += 1) {
      await this.addProcess("entry", `entry-${at}`, at);
    }
    for (let at = 0; at < sizes.schedulers; at += 1) {
      await this.addProcess("scheduler", `scheduler-${at}`, at);
    }
    await Promise.all(this.processes.map((item) => item.start()));
  }

  /** Ends every process that it started, by its id. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map((item) => item.kill()));
    for (const { standin, link } of this.replicas) {
      standin.stop();
      link.stop();
    }
    for (const link of this.storeLinks.values()) link.stop();
    this.store.stop();
    rmSync(this.folder, { recursive: true });
  }

  /** The operator's next configuration. */
  changeConfig(): void {
    this.version += 1;
    putConfig(this.store, this.version);
    const subject = String(this.version);
    this.records.news.push({ kind: "configuration", subject, at: this.now() });
  }

  /** What the operator and the replicas wrote is written again. */
  writeAgain(): void {
    putConfig(this.store, this.version);
    const living = new Set(
      this.replicas.map(({ standin }) => standin.options.id),
    );
    for (const name of this.store.names(KINDS.replicas)) {
      if (!living.has(name)) this.store.remove(KINDS.replicas, name);
    }
    for (const replica of this.replicas) this.relist(replica);
  }

  /** A new incarnation at a place; `engine-…` are model engines. */
  async addReplica(place: string): Promise<SoakReplica> {
    this.incarnations += 1;
    const isEngine = place.startsWith("engine");
    const standin = await new StandinReplica({
      id: `${place}.${this.incarnations}`,
      service: isEngine ? "model" : "plain",
      stage: isEngine ? "decode" : undefined,
      events: STREAM_EVENTS,
    }).start();
    const link = await new FaultLink(() => standin.address).start();
    const replica: SoakReplica = {
      standin,
      link,
      place,
      misbehaviour: undefined,
      state: "ready",
    };
    standin.onReached = ({ id: requestId, at, told }) => {
      const { id } = standin.options;
      this.records.arrivals.push({ requestId, replica: id, at, told });
    };
    standin.behave = (arrival) => this.behave(replica, arrival);
    standin.onOrder = ({ stage, holder, fence }) => {
      const { id } = standin.options;
      this.records.orders.push({ replica: id, holder, fence, at: this.now() });
      standin.options.stage = stage;
      setTimeout(() => this.relist(replica), STAGE_CHANGE_MS);
    };
    this.replicas.push(replica);
    this.relist(replica);
    return replica;
  }

  /** Writes a replica's entry, unless it is gone. */
  relist(replica: SoakReplica, state = replica.state): void {
    replica.state = state;
    if (!this.replicas.includes(replica)) return;
    replica.standin.register(this.store, state, replica.link.address);
  }

  /** A replica names this limit in its answers from now on; undefined: none. */
  setLimit({ standin }: SoakReplica, perS: number | undefined): void {
    standin.rateLimit = perS === undefined ? undefined : String(perS);
    const { id } = standin.options;
    this.records.limits.push({ replica: id, at: this.now(), perS });
  }

  unlist(replica: SoakReplica): void {
    removeFromList(this.store, replica.standin);
  }

  /** The replica ends; its address answers no more. */
  removeReplica(replica: SoakReplica): void {
    replica.standin.stop();
    replica.link.stop();
    this.replicas.splice(this.replicas.indexOf(replica), 1);
  }

  private async addProcess(
    role: "entry" | "scheduler",
    id: string,
    at: number,
  ): Promise<void> {
    const link = await new FaultLink(() => this.store.address).start();
    this.storeLinks.set(id, link);
    const machine = {
      id,
      role,
      zone: `zone-${at % ZONES}`,
      storeAddress: link.address,
      graceMs: GRACE_MS,
      leaseMs: LEASE_MS,
      contactMs: CONTACT_MS,
    };
    this.processes.push(new DaemonProcess(machine, this.folder));
  }

  private behave(replica: SoakReplica, arrival: Arrival): Behaviour {
    const { misbehaviour, standin } = replica;
    const isHit = misbehaviour !== undefined && this.rng() < misbehaviour.share;
    const behaviour = isHit ? misbehaviour.behaviour : "ok";
    if (arrival.phase === "run" && behaviour !== "refuse") {
      this.records.runs.push({
        requestId: arrival.id,
        replica: standin.options.id,
        at: this.now(),
      });
    }
    return behaviour;
  }
}
