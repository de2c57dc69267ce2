/**
 * The replicas listed in the store, one entry per incarnation: a restarted
 * replica has lost its state even if it keeps its name. An entry that vanishes
 * while the store is unstable may have expired although its replica is alive,
 * so it is kept for a short grace period before it is removed. No I/O.
 */
import type { StoreStability } from "../store/index.js";
import { ReplicaSignals } from "./replicaSignals.js";
import type { EngineReport, Replica } from "./types.js";

/**
 * Longest time for which a replica is still used after its entry may have
 * vanished from an unstable store, ms. Live replicas rewrite their entries
 * within two seconds of the store's return.
 */
const MAX_VANISHED_GRACE_MS = 3000;
/**
 * Part of the drain time that is left for a request to arrive, ms: one that is
 * sent at the end of the grace period may be transmitted twice.
 */
const ARRIVAL_MARGIN_MS = 300;
/** Grace period where the drain time is not known, ms. */
export const VANISHED_GRACE_MS = 1700;

/** Times of a replica set; absent: see each. */
export interface ReplicaSetOptions {
  /** See `Availability`; 0 if absent. */
  lastResortMs?: number;
  /** How long a leaving replica continues to serve, ms; 0 or absent: unknown. */
  drainMs?: number;
}

/** The grace period counts from the store's removal, not from its news. */
export const vanishedGraceMs = (drainMs: number): number =>
  drainMs === 0
    ? VANISHED_GRACE_MS
    : Math.min(MAX_VANISHED_GRACE_MS, Math.max(0, drainMs - ARRIVAL_MARGIN_MS));

/**
 * How long a replica is not used after another one responded at its address,
 * ms. A crashed replica's entry expires after three heartbeats, a few seconds.
 */
const MISDIRECTED_MS = 4000;

interface SetEntry {
  replica: Replica;
  /** Revision of the entry's last change in the store. */
  revision: number;
  /** Not used before this instant: another replica has its address, ms. */
  misdirectedUntil: number;
  /** End of its use once its entry has vanished, ms; Infinity while listed. */
  usedUntil: number;
}

/** A replica and the revision of its entry's last change. */
export interface ListedReplica {
  replica: Replica;
  revision?: number;
}

/** A change of the replica list, for the log. */
export type ReplicaChange = {
  kind: "added" | "changed" | "vanished" | "gone";
  replica: Replica;
};

const takesPrecedence = (
  left: SetEntry,
  right: SetEntry,
  now: number,
): boolean => {
  const isLeftDenied = left.misdirectedUntil > now;
  const isRightDenied = right.misdirectedUntil > now;
  if (isLeftDenied !== isRightDenied) return isRightDenied;
  return left.revision > right.revision;
};

/** An entry without a start time is taken as the known incarnation's. */
const withKnownIncarnation = (
  entry: Replica,
  known: Replica | undefined,
): Replica => {
  const isSilent = entry.startedAt === undefined && known !== undefined;
  return isSilent
    ? { ...entry, id: known.id, startedAt: known.startedAt }
    : entry;
};

/** Whether a report comes from another incarnation than the listed one. */
export const isDifferentIncarnation = (
  replica: Replica,
  report: Pick<EngineReport, "startedAt">,
): boolean =>
  replica.startedAt !== undefined &&
  report.startedAt !== undefined &&
  replica.startedAt !== report.startedAt;

export class ReplicaSet {
  /** Leaving and back-off signals of the replicas. */
  readonly signals: ReplicaSignals;
  /** By id of the incarnation. */
  private readonly entries = new Map<string, SetEntry>();
  /** Id of the current incarnation, by name. */
  private readonly idsByName = new Map<string, string>();
  private services: ReadonlySet<string> | undefined;
  /** Incremented on each change. */
  revision = 0;

  private readonly graceMs: number;

  constructor({ lastResortMs = 0, drainMs = 0 }: ReplicaSetOptions = {}) {
    this.signals = new ReplicaSignals(this, lastResortMs);
    this.graceMs = vanishedGraceMs(drainMs);
  }

  get(id: string): Replica | undefined {
    return this.entries.get(id)?.replica;
  }

  /** Whether it is ready, and its entry listed or missing for a short time. */
  isReady(id: string, now: number): boolean {
    const known = this.entries.get(id);
    return known?.replica.state === "ready" && now < known.usedUntil;
  }

  /**
   * Adds or updates an entry; `revision`: store revision of that write. A newer
   * incarnation replaces the previous one; writes of an older one are ignored.
   */
  put(entry: Replica, revision = 0, now = 0): ReplicaChange[] {
    const before = this.byName(entry.name);
    const replica = withKnownIncarnation(entry, before?.replica);
    const known = this.entries.get(replica.id);
    const isOlderIncarnation =
      (replica.startedAt ?? 0) < (before?.replica.startedAt ?? 0) ||
      (known !== undefined && revision < known.revision);
    if (isOlderIncarnation) return [];
    const changes: ReplicaChange[] = [];
    if (before !== undefined && before !== known) {
      changes.push(this.delete(before.replica));
    }
    // A store restored from a backup may list it as `ready` again.
    if (replica.state === "draining") this.signals.markLeaving(replica.id, now);
    this.revision += 1;
    this.idsByName.set(replica.name, replica.id);
    this.entries.set(replica.id, {
      replica,
      revision,
      misdirectedUntil: known?.misdirectedUntil ?? 0,
      usedUntil: Infinity,
    });
    changes.push({ kind: known === undefined ? "added" : "changed", replica });
    return changes;
  }

  /** Handles a vanished entry. */
  remove(
    name: string,
    now: number,
    { inTrouble, changedAfter }: StoreStability,
  ): ReplicaChange | undefined {
    const known = this.byName(name);
    if (known === undefined) return undefined;
    const { replica } = known;
    const removedAt = Math.min(now, changedAfter);
    const usedUntil = Math.min(known.usedUntil, removedAt + this.graceMs);
    const isReady = replica.state === "ready";
    if (!inTrouble || !isReady || usedUntil <= now) return this.delete(replica);
    this.revision += 1;
    known.usedUntil = usedUntil;
    return { kind: "vanished", replica };
  }

  /** Removes a replica whose entry can't be decoded any more. */
  drop(name: string): ReplicaChange | undefined {
    const known = this.byName(name);
    return known && this.delete(known.replica);
  }

  /** Applies a full list read from the store; missing entries have vanished. */
  replace(
    listed: readonly ListedReplica[],
    now: number,
    stability: StoreStability,
  ): ReplicaChange[] {
    const names = new Set(listed.map(({ replica }) => replica.name));
    const changes: ReplicaChange[] = [];
    for (const name of [...this.idsByName.keys()]) {
      if (names.has(name)) continue;
      const change = this.remove(name, now, stability);
      if (change !== undefined) changes.push(change);
    }
    for (const { replica, revision } of listed) {
      changes.push(...this.put(replica, revision, now));
    }
    return changes;
  }

  /** Sets the configured services; until then every service is accepted. */
  setServices(names: Iterable<string>): void {
    this.services = new Set(names);
    this.revision += 1;
  }

  private isService(name: string): boolean {
    return this.services?.has(name) ?? true;
  }

  private byName(name: string): SetEntry | undefined {
    const id = this.idsByName.get(name);
    return id === undefined ? undefined : this.entries.get(id);
  }

  private delete(replica: Replica): ReplicaChange {
    this.revision += 1;
    this.entries.delete(replica.id);
    this.idsByName.delete(replica.name);
    return { kind: "gone", replica };
  }

  /** Removes entries whose grace period is over. */
  removeExpired(now: number): ReplicaChange[] {
    const gone: ReplicaChange[] = [];
    for (const { replica, usedUntil } of [...this.entries.values()]) {
      if (now >= usedUntil) gone.push(this.delete(replica));
    }
    return gone;
  }

  /** Another replica responded at its address: it is not used for a while. */
  markMisdirected(id: string, now: number): void {
    const known = this.entries.get(id);
    if (known === undefined) return;
    known.misdirectedUntil = now + MISDIRECTED_MS;
    this.revision += 1;
  }

  /**
   * The replicas that may get new work. Of several listed at one address only
   * the newest is alive: a crashed replica stays listed for three heartbeats
   * beside its replacement. Entries of services that are not configured are
   * ignored.
   */
  usable(service: string, now: number): Replica[] {
    const newest = new Map<string, SetEntry>();
    for (const known of this.entries.values()) {
      const { address } = known.replica;
      if (!this.isService(known.replica.service)) continue;
      const other = newest.get(address);
      if (other === undefined || takesPrecedence(known, other, now)) {
        newest.set(address, known);
      }
    }
    const found: Replica[] = [];
    for (const { replica } of newest.values()) {
      if (replica.service !== service) continue;
      if (this.isReady(replica.id, now)) found.push(replica);
    }
    return this.signals.withoutLeaving(found, now);
  }

  /**
   * Software versions of all listed replicas of a service, leaving ones too;
   * empty text for those that report none.
   */
  listedVersions(service: string): string[] {
    return [...this.entries.values()].flatMap(({ replica }) =>
      replica.service === service ? [replica.softwareVersion ?? ""] : [],
    );
  }

  /** Instant until which `usable` stays valid if no entry changes, ms. */
  usableUntil(now: number): number {
    const { signals } = this;
    let until = Infinity;
    for (const {
      replica,
      usedUntil,
      misdirectedUntil,
    } of this.entries.values()) {
      if (misdirectedUntil > now) until = Math.min(until, misdirectedUntil);
      until = Math.min(until, signals.leavingUnchangedUntil(replica.id, now));
      until = Math.min(until, usedUntil);
    }
    return until;
  }

  get size(): number {
    return this.entries.size;
  }
}
