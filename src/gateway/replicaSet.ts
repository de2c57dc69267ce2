/**
 * The replicas that the store lists, life by life: one that has started again
 * holds nothing of what it held, also where it keeps its name. Pure. An entry
 * that vanishes while the store is in trouble may have lapsed although its
 * replica lives: it is kept for a short time, and given up if it does not
 * come back.
 */
import { ReplicaSignals } from "./replicaSignals.js";
import type { EngineReport, Replica } from "./types.js";

/**
 * How long a replica is used after its entry vanished in trouble, ms. Living
 * replicas write again within two seconds; the bound on leaving replicas is
 * two seconds on the smallest deployments, so it ends a little before.
 */
export const VANISHED_GRACE_MS = 1700;

/**
 * How long a replica is not used that another answered for, ms. The entry of
 * one that has crashed goes after three heartbeats, a few seconds.
 */
const MISDIRECTED_MS = 4000;

interface SetEntry {
  replica: Replica;
  /** Revision of the entry's last change in the store. */
  revision: number;
  /** Not used until then: it answered that it is another one, ms. */
  misdirectedUntil: number;
  /** Instant at which its entry vanished, ms. */
  vanishedAt: number | undefined;
}

/** A replica and the revision of its entry's last change. */
export interface ListedReplica {
  replica: Replica;
  revision?: number;
}

/** What a change of the list came to, for the log. */
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

/** An entry that does not say when its life began goes on with the known one. */
const withKnownIncarnation = (
  entry: Replica,
  known: Replica | undefined,
): Replica => {
  const isSilent = entry.bornAt === undefined && known !== undefined;
  return isSilent ? { ...entry, id: known.id, bornAt: known.bornAt } : entry;
};

/** Whether a report comes from another life than the one that is known. */
export const isDifferentIncarnation = (
  replica: Replica,
  report: Pick<EngineReport, "bornAt">,
): boolean =>
  replica.bornAt !== undefined &&
  report.bornAt !== undefined &&
  replica.bornAt !== report.bornAt;

export class ReplicaSet {
  /** What they have said of themselves. */
  readonly signals: ReplicaSignals;
  /** By id of the life. */
  private readonly entries = new Map<string, SetEntry>();
  /** Ids of the lives that names stand for. */
  private readonly idsByName = new Map<string, string>();
  private services: ReadonlySet<string> | undefined;
  /** Grows with each change. */
  revision = 0;

  /** `lastResortMs`: see `Availability`. */
  constructor(lastResortMs = 0) {
    this.signals = new ReplicaSignals(this, lastResortMs);
  }

  get(id: string): Replica | undefined {
    return this.entries.get(id)?.replica;
  }

  /**
   * A replica wrote its entry; `revision`: of that change in the store. A
   * newer life ends the one before; what an older one wrote comes too late.
   */
  put(entry: Replica, revision = 0, now = 0): ReplicaChange[] {
    const before = this.byName(entry.name);
    const replica = withKnownIncarnation(entry, before?.replica);
    const known = this.entries.get(replica.id);
    const isOlderLife =
      (replica.bornAt ?? 0) < (before?.replica.bornAt ?? 0) ||
      (known !== undefined && revision < known.revision);
    if (isOlderLife) return [];
    const changes: ReplicaChange[] = [];
    if (before !== undefined && before !== known) {
      changes.push(this.delete(before.replica));
    }
    // A store that comes back from a copy may say `ready` of it once more.
    if (replica.state === "draining") this.signals.markLeaving(replica.id, now);
    this.revision += 1;
    this.idsByName.set(replica.name, replica.id);
    this.entries.set(replica.id, {
      replica,
      revision,
      misdirectedUntil: known?.misdirectedUntil ?? 0,
      vanishedAt: undefined,
    });
    changes.push({ kind: known === undefined ? "added" : "changed", replica });
    return changes;
  }

  /** An entry vanished; `inTrouble`: the store was not steady lately. */
  remove(
    name: string,
    now: number,
    inTrouble: boolean,
  ): ReplicaChange | undefined {
    const known = this.byName(name);
    if (known === undefined) return undefined;
    const { replica } = known;
    if (!inTrouble || replica.state !== "ready") return this.delete(replica);
    this.revision += 1;
    known.vanishedAt ??= now;
    return { kind: "vanished", replica };
  }

  /** Its entry can't be read any more: it names no replica. */
  drop(name: string): ReplicaChange | undefined {
    const known = this.byName(name);
    return known && this.delete(known.replica);
  }

  /** The whole list was read: what it lacks has vanished. */
  replace(
    listed: readonly ListedReplica[],
    now: number,
    inTrouble: boolean,
  ): ReplicaChange[] {
    const names = new Set(listed.map(({ replica }) => replica.name));
    const changes: ReplicaChange[] = [];
    for (const name of [...this.idsByName.keys()]) {
      if (names.has(name)) continue;
      const change = this.remove(name, now, inTrouble);
      if (change !== undefined) changes.push(change);
    }
    for (const { replica, revision } of listed) {
      changes.push(...this.put(replica, revision, now));
    }
    return changes;
  }

  /** The services of the configuration; without one, all count. */
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

  /** Gives up what vanished too long ago. */
  expire(now: number): ReplicaChange[] {
    const gone: ReplicaChange[] = [];
    for (const { replica, vanishedAt } of [...this.entries.values()]) {
      if (vanishedAt === undefined) continue;
      if (now - vanishedAt < VANISHED_GRACE_MS) continue;
      gone.push(this.delete(replica));
    }
    return gone;
  }

  /** Another one answered at its address: it is not used for a while. */
  markMisdirected(id: string, now: number): void {
    const known = this.entries.get(id);
    if (known === undefined) return;
    known.misdirectedUntil = now + MISDIRECTED_MS;
    this.revision += 1;
  }

  /**
   * The replicas that may get new work. Of those that are listed at one
   * address only the newest lives: a replica that has crashed stays listed
   * for three heartbeats beside the one that took its place. An entry of a
   * service that the configuration does not name takes no place.
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
    for (const { replica, vanishedAt } of newest.values()) {
      if (replica.service !== service || replica.state !== "ready") continue;
      const isLost =
        vanishedAt !== undefined && now - vanishedAt >= VANISHED_GRACE_MS;
      if (!isLost) found.push(replica);
    }
    return this.signals.withoutLeaving(found, now);
  }

  /** Until when `usable` gives the same if nothing changes, ms. */
  usableUntil(now: number): number {
    const { signals } = this;
    let until = Infinity;
    for (const {
      replica,
      vanishedAt,
      misdirectedUntil,
    } of this.entries.values()) {
      if (misdirectedUntil > now) until = Math.min(until, misdirectedUntil);
      until = Math.min(until, signals.leavingUnchangedUntil(replica.id, now));
      if (vanishedAt === undefined) continue;
      until = Math.min(until, vanishedAt + VANISHED_GRACE_MS);
    }
    return until;
  }

  get size(): number {
    return this.entries.size;
  }
}
