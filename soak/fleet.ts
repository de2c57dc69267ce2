/**
 * A deployment for the soak. Entries and schedulers are processes. The store and
 * the replicas are stand-ins in this process, so that the soak knows for certain
 * what ran; each is behind a link that can inject faults.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";

import { KINDS } from "../platform/names.js";
import { putConfig, removeFromList } from "../platform/standins/caller.js";
import { StandinReplica } from "../platform/standins/replica.js";
import { BREAK_KINDS, FRAMINGS } from "../platform/standins/answerWriter.js";
import type { BreakKind } from "../platform/standins/answerWriter.js";
import type { Arrival, Behaviour } from "../platform/standins/replica.js";
import { StandinStore } from "../platform/standins/store.js";
import type { Rng } from "../src/shared/rng.js";
import { FaultLink } from "../standins/faultLink.js";
import { STREAM_EVENTS } from "./checks.js";
import { DaemonProcess } from "./daemonProcess.js";
import { drawOne } from "./draw.js";
import { retryLimitsOf } from "./profile.js";
import type { SoakRecords } from "./types.js";

export interface FleetSizes {
  entries: number;
  schedulers: number;
  plain: number;
  engines: number;
}

/** A stand-in replica, its link and its current misbehaviour. */
export interface SoakReplica {
  standin: StandinReplica;
  link: FaultLink;
  /** Id without the incarnation; successive incarnations share it. */
  baseId: string;
  /** Applies to this share of the requests. */
  misbehaviour:
    { behaviour: Behaviour | "break off"; share: number } | undefined;
  /** State in its store entry, or the one to write there next. */
  state: "ready" | "draining";
  /** Whether its entry was removed for good. */
  isRemoved: boolean;
}

const GRACE_MS = 3000;
const LEASE_MS = 1000;
const CONTACT_MS = 3000;
/** How long an engine takes to change its stage, ms. */
const STAGE_CHANGE_MS = 300;
const ZONES = 3;
/** Share of the crashes that come right behind all bytes of an answer. */
const WHOLE_BEFORE_CRASH = 0.2;
/** Time from a crash until the replica's entry lapses and it is back, ms. */
const CRASH_MS = 1500;
/** About the size of a complete stream, bytes. */
const ANSWER_BYTES = 1200;

export class SoakFleet {
  readonly store = new StandinStore();
  readonly processes: DaemonProcess[] = [];
  readonly replicas: SoakReplica[] = [];
  /** Link to the store, by process id. */
  readonly storeLinks = new Map<string, FaultLink>();
  readonly records: SoakRecords = {
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
  };
  version = 0;
  /** Software versions that new engines run, in turn. */
  softwareVersions = ["v1", "v2", "v3"];
  /** Prompt part that ends each engine that writes an answer on it. */
  deadlyPart: string | undefined;
  /** Whether responses come with all framings, in turn. */
  hasAllFramings = false;
  private isStopped = false;
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

  /** Kills every started process and stops all stand-ins and links. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.processes.map((item) => item.kill()));
    for (const { standin, link } of this.replicas) {
      standin.stop();
      link.stop();
    }
    for (const link of this.storeLinks.values()) link.stop();
    this.store.stop();
    rmSync(this.folder, { recursive: true });
  }

  /** Publishes the next configuration version, as the operator would. */
  changeConfig(): void {
    this.version += 1;
    putConfig(this.store, this.version);
    const subject = String(this.version);
    this.records.news.push({ kind: "configuration", subject, at: this.now() });
  }

  /**
   * Writes the entries of the operator and the replicas to the store again, and
   * removes those of replicas that no longer exist.
   */
  rewriteStore(): void {
    putConfig(this.store, this.version);
    const currentIds = new Set(
      this.replicas.map(({ standin }) => standin.options.id),
    );
    for (const name of this.store.names(KINDS.replicas)) {
      if (!currentIds.has(name)) this.store.remove(KINDS.replicas, name);
    }
    for (const replica of this.replicas) this.register(replica);
  }

  /** Starts a new incarnation; ids `engine-…` are model engines. */
  async addReplica(baseId: string): Promise<SoakReplica> {
    this.incarnations += 1;
    const isEngine = baseId.startsWith("engine");
    const standin = await new StandinReplica({
      id: `${baseId}.${this.incarnations}`,
      service: isEngine ? "model" : "plain",
      stage: isEngine ? "decode" : undefined,
      version: isEngine ? this.nextVersion() : undefined,
      events: STREAM_EVENTS,
    }).start();
    const link = await new FaultLink(() => standin.address).start();
    const replica: SoakReplica = {
      standin,
      link,
      baseId,
      misbehaviour: undefined,
      state: "ready",
      isRemoved: false,
    };
    if (this.hasAllFramings)
      standin.framing = FRAMINGS[this.incarnations % FRAMINGS.length];
    standin.onCrash = () => void this.replaceCrashed(replica);
    standin.onReached = ({ id: requestId, ...reached }) => {
      const { id: replica } = standin.options;
      this.records.arrivals.push({ requestId, replica, ...reached });
    };
    standin.behave = (arrival) => this.behave(replica, arrival);
    standin.onOrder = ({ stage, holder, fence }) => {
      const { id } = standin.options;
      this.records.orders.push({ replica: id, holder, fence, at: this.now() });
      standin.options.stage = stage;
      setTimeout(() => this.register(replica), STAGE_CHANGE_MS);
    };
    this.replicas.push(replica);
    this.register(replica);
    return replica;
  }

  /** Writes a replica's entry to the store, unless the replica was removed. */
  register(replica: SoakReplica, state = replica.state): void {
    replica.state = state;
    if (replica.isRemoved || !this.replicas.includes(replica)) return;
    this.recordListing(replica.standin, state === "ready");
    replica.standin.register(this.store, state, replica.link.address);
  }

  /**
   * Sets the limit that a replica names in its answers, requests per second;
   * undefined: none.
   */
  setLimit({ standin }: SoakReplica, perS: number | undefined): void {
    standin.rateLimit = perS === undefined ? undefined : String(perS);
    const { id } = standin.options;
    this.records.limits.push({ replica: id, at: this.now(), perS });
  }

  unlist(replica: SoakReplica): void {
    this.recordListing(replica.standin, false);
    removeFromList(this.store, replica.standin);
  }

  /** Removes the entry of a replica that goes on serving. */
  unlistForGood(replica: SoakReplica): void {
    replica.isRemoved = true;
    this.unlist(replica);
    const subject = replica.standin.options.id;
    this.records.news.push({ kind: "removed", subject, at: this.now() });
  }

  /**
   * Gives the store another address, which the settings file of the process
   * names from now on. Resolves with what closes the present one.
   */
  async moveStoreLink(item: DaemonProcess): Promise<() => void> {
    const { id } = item.machine;
    const old = this.storeLinks.get(id);
    const { address: storeAddress } = await this.addStoreLink(id);
    item.changeSettings({ storeAddress });
    return () => old?.stop();
  }

  /** Stops a replica; its address no longer answers. */
  removeReplica(replica: SoakReplica): void {
    this.recordListing(replica.standin, false);
    replica.standin.stop();
    replica.link.stop();
    this.forget(replica);
  }

  /** A replica that crashed is back under a new id after a while. */
  private async replaceCrashed(replica: SoakReplica): Promise<void> {
    if (!this.forget(replica)) return;
    const { baseId, standin, link } = replica;
    this.recordListing(standin, false);
    link.stopListening();
    await new Promise((resolve) => setTimeout(resolve, CRASH_MS));
    link.stop();
    if (this.isStopped) return;
    this.unlist(replica);
    await this.addReplica(baseId);
  }

  /** Whether the replica was part of the fleet. */
  private forget(replica: SoakReplica): boolean {
    const at = this.replicas.indexOf(replica);
    if (at >= 0) this.replicas.splice(at, 1);
    return at >= 0;
  }

  private nextVersion(): string | undefined {
    const { softwareVersions, incarnations } = this;
    return softwareVersions[incarnations % softwareVersions.length];
  }

  private recordListing({ options }: StandinReplica, isListed: boolean): void {
    const { id: replica, version } = options;
    if (version === undefined) return;
    const { engines } = this.records;
    const last = engines.findLast((item) => item.replica === replica);
    const isOpen = last?.until === Infinity;
    if (isOpen === isListed) return;
    if (last !== undefined && isOpen) last.until = this.now();
    else engines.push({ replica, version, from: this.now(), until: Infinity });
  }

  /** A new link from a process to the store, in place of the present one. */
  private async addStoreLink(id: string): Promise<FaultLink> {
    const link = await new FaultLink(() => this.store.address).start();
    this.storeLinks.set(id, link);
    return link;
  }

  private async addProcess(
    role: "entry" | "scheduler",
    id: string,
    at: number,
  ): Promise<void> {
    const { address: storeAddress } = await this.addStoreLink(id);
    const machine = {
      id,
      role,
      zone: `zone-${at % ZONES}`,
      storeAddress,
      graceMs: GRACE_MS,
      leaseMs: LEASE_MS,
      contactMs: CONTACT_MS,
      retryLimits: this.records.retryLimits,
    };
    const item = new DaemonProcess(machine, this.folder);
    item.onUnexpectedEnd = () =>
      this.records.processEnds.push({ process: id, at: this.now() });
    this.processes.push(item);
  }

  private behave(replica: SoakReplica, arrival: Arrival): Behaviour {
    const behaviour = this.drawBehaviour(replica, arrival);
    if (arrival.phase === "run" && behaviour !== "refuse") {
      this.records.runs.push({
        requestId: arrival.id,
        replica: replica.standin.options.id,
        at: this.now(),
      });
    }
    return behaviour;
  }

  private drawBehaviour(
    { misbehaviour, standin }: SoakReplica,
    { phase, parts }: Arrival,
  ): Behaviour {
    const { deadlyPart: part } = this;
    if (part !== undefined && phase === "run" && parts.includes(part)) {
      const { id: replica } = standin.options;
      this.records.partEnds.push({ part, replica, at: this.now() });
      const isWhole = this.rng() < WHOLE_BEFORE_CRASH;
      const afterBytes = isWhole ? Infinity : this.drawBytes();
      return { afterBytes, how: "crash" };
    }
    const isHit = misbehaviour !== undefined && this.rng() < misbehaviour.share;
    if (!isHit) return "ok";
    if (misbehaviour.behaviour !== "break off") return misbehaviour.behaviour;
    // Less than the stated length would leave the caller waiting for the rest.
    const kinds: readonly BreakKind[] =
      standin.framing === "length" ? ["close", "reset"] : BREAK_KINDS;
    return {
      afterBytes: this.drawBytes(),
      how: drawOne(kinds, this.rng) ?? "close",
    };
  }

  private drawBytes(): number {
    return Math.floor(this.rng() * ANSWER_BYTES);
  }
}
