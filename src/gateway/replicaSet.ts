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

interface Known {
  replica: Replica;
  /** Instant at which its entry vanished, ms. */
  vanishedAt: number | undefined;
}

/** What a change of the list came to, for the log. */
export type ReplicaChange = {
  kind: "added" | "changed" | "vanished" | "gone";
  replica: Replica;
};

export class ReplicaSet {
  private readonly known = new Map<string, Known>();
  /** Grows with each change. */
  revision = 0;

  get(id: string): Replica | undefined {
    return this.known.get(id)?.replica;
  }

  /** A replica wrote its entry. */
  put(replica: Replica): ReplicaChange {
    const kind = this.known.has(replica.id) ? "changed" : "added";
    this.revision += 1;
    this.known.set(replica.id, { replica, vanishedAt: undefined });
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
    replicas: readonly Replica[],
    now: number,
    inTrouble: boolean,
  ): ReplicaChange[] {
    const listed = new Set(replicas.map((item) => item.id));
    const changes: ReplicaChange[] = [];
    for (const id of [...this.known.keys()]) {
      if (listed.has(id)) continue;
      const change = this.remove(id, now, inTrouble);
      if (change !== undefined) changes.push(change);
    }
    for (const replica of replicas) changes.push(this.put(replica));
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

  /** The replicas that may get new work. */
  usable(service: string, now: number): Replica[] {
    const found: Replica[] = [];
    for (const { replica, vanishedAt } of this.known.values()) {
      if (replica.service !== service || replica.state !== "ready") continue;
      const isLost =
        vanishedAt !== undefined && now - vanishedAt >= VANISHED_KEEP_MS;
      if (!isLost) found.push(replica);
    }
    return found;
  }

  /** Until when `usable` gives the same if nothing changes, ms. */
  usableUntil(): number {
    let until = Infinity;
    for (const { vanishedAt } of this.known.values()) {
      if (vanishedAt === undefined) continue;
      until = Math.min(until, vanishedAt + VANISHED_KEEP_MS);
    }
    return until;
  }

  get size(): number {
    return this.known.size;
  }
}
