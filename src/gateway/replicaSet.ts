/**
 * The replicas that the store lists. Pure. An entry that vanishes while the
 * store is in trouble may have lapsed although its replica lives: it is kept
 * for a short time, and given up if it does not come back.
 */
import type { Replica } from "./types.js";

/**
 * How long a replica is used after its entry vanished in trouble, ms. Living
 * replicas write again within two seconds; the bound on leaving replicas is
 * two seconds on the smallest deployments, so it ends a little before.
 */
export const VANISHED_KEEP_MS = 1700;

/**
 * How long a replica is not used that another answered for, ms. The entry of
 * one that has crashed goes after three heartbeats, a few seconds.
 */
const DENIED_MS = 4000;

interface Known {
  replica: Replica;
  /** Revision of the entry's last change in the store. */
  revision: number;
  /** Not used until then: it answered that it is another one, ms. */
  deniedUntil: number;
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

const isNewer = (left: Known, right: Known, now: number): boolean => {
  const isLeftDenied = left.deniedUntil > now;
  const isRightDenied = right.deniedUntil > now;
  if (isLeftDenied !== isRightDenied) return isRightDenied;
  return left.revision > right.revision;
};

/** Names one life of a replica: an end is counted once. */
export const replicaLife = ({ id }: Replica): string => id;

export class ReplicaSet {
  private readonly known = new Map<string, Known>();
  /** Grows with each change. */
  revision = 0;

  get(id: string): Replica | undefined {
    return this.known.get(id)?.replica;
  }

  /** A replica wrote its entry; `revision`: of that change in the store. */
  put(replica: Replica, revision = 0): ReplicaChange {
    const kind = this.known.has(replica.id) ? "changed" : "added";
    this.revision += 1;
    const deniedUntil = this.known.get(replica.id)?.deniedUntil ?? 0;
    this.known.set(replica.id, {
      replica,
      revision,
      deniedUntil,
      vanishedAt: undefined,
    });
    return { kind, replica };
  }

  /** An entry vanished; `inTrouble`: the store was not steady lately. */
  remove(
    id: string,
    now: number,
    inTrouble: boolean,
  ): ReplicaChange | undefined {
    const known = this.known.get(id);
    if (known === undefined) return undefined;
    this.revision += 1;
    const { replica } = known;
    if (inTrouble && replica.state === "ready") {
      known.vanishedAt ??= now;
      return { kind: "vanished", replica };
    }
    this.known.delete(id);
    return { kind: "gone", replica };
  }

  /** The whole list was read: what it lacks has vanished. */
  replace(
    listed: readonly ListedReplica[],
    now: number,
    inTrouble: boolean,
  ): ReplicaChange[] {
    const ids = new Set(listed.map(({ replica }) => replica.id));
    const changes: ReplicaChange[] = [];
    for (const id of [...this.known.keys()]) {
      if (ids.has(id)) continue;
      const change = this.remove(id, now, inTrouble);
      if (change !== undefined) changes.push(change);
    }
    for (const { replica, revision } of listed) {
      changes.push(this.put(replica, revision));
    }
    return changes;
  }

  /** Gives up what vanished too long ago. */
  expire(now: number): ReplicaChange[] {
    const gone: ReplicaChange[] = [];
    for (const [id, { replica, vanishedAt }] of this.known) {
      if (vanishedAt === undefined) continue;
      if (now - vanishedAt < VANISHED_KEEP_MS) continue;
      this.known.delete(id);
      this.revision += 1;
      gone.push({ kind: "gone", replica });
    }
    return gone;
  }

  /** Another one answered at its address: it is not used for a while. */
  deny(id: string, now: number): void {
    const known = this.known.get(id);
    if (known === undefined) return;
    known.deniedUntil = now + DENIED_MS;
    this.revision += 1;
  }

  /**
   * The replicas that may get new work. Of those that are listed at one
   * address only the newest lives: a replica that has crashed stays listed
   * for three heartbeats beside the one that took its place.
   */
  usable(service: string, now: number): Replica[] {
    const newest = new Map<string, Known>();
    for (const known of this.known.values()) {
      const { address } = known.replica;
      const other = newest.get(address);
      if (other === undefined || isNewer(known, other, now)) {
        newest.set(address, known);
      }
    }
    const found: Replica[] = [];
    for (const { replica, vanishedAt } of newest.values()) {
      if (replica.service !== service || replica.state !== "ready") continue;
      const isLost =
        vanishedAt !== undefined && now - vanishedAt >= VANISHED_KEEP_MS;
      if (!isLost) found.push(replica);
    }
    return found;
  }

  /** Until when `usable` gives the same if nothing changes, ms. */
  usableUntil(now: number): number {
    let until = Infinity;
    for (const { vanishedAt, deniedUntil } of this.known.values()) {
      if (deniedUntil > now) until = Math.min(until, deniedUntil);
      if (vanishedAt === undefined) continue;
      until = Math.min(until, vanishedAt + VANISHED_KEEP_MS);
    }
    return until;
  }

  get size(): number {
    return this.known.size;
  }
}
