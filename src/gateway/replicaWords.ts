/**
 * What the listed replicas have said of themselves, as those ask who choose
 * one, send to one, or tell a caller when to come back. The words themselves
 * are judged by `Willingness`.
 */
import type { Replica, ReplicaWord } from "./types.js";
import { Willingness } from "./willingness.js";
import type { Unwilling, UnwillingLife, WordChange } from "./willingness.js";

/** The list that the words are of. */
export interface ListedReplicas {
  /** Grows with each change of what may be used. */
  revision: number;
  get(id: string): Replica | undefined;
  usable(service: string, now: number): Replica[];
}

export class ReplicaWords {
  private readonly willingness: Willingness;

  /** `lastResortMs`: see `Willingness`. */
  constructor(
    private readonly replicas: ListedReplicas,
    lastResortMs: number,
  ) {
    this.willingness = new Willingness(lastResortMs);
  }

  /**
   * An answer of that life says this of it; `isProven`: the answer belongs to
   * the request that was sent.
   */
  hear(
    id: string,
    word: ReplicaWord,
    isProven: boolean,
    now: number,
  ): WordChange {
    const change = this.willingness.hear(id, word, isProven, now);
    if (change !== undefined) this.replicas.revision += 1;
    return change;
  }

  /** Another process heard it say that it leaves. */
  leave(id: string, now: number): void {
    const change = this.willingness.leave(id, now);
    if (change !== undefined) this.replicas.revision += 1;
  }

  /** Why no work goes to it; undefined: it may get some. */
  refusal(id: string, now: number): string | undefined {
    return this.refusalFor(id, now, this.willingness.refusal(id, now));
  }

  /** The same for work that leaves now. */
  take(id: string, now: number): string | undefined {
    return this.refusalFor(id, now, this.willingness.take(id, now));
  }

  /** Replicas of a service that want no work of this process now. */
  unwilling(service: string, now: number): string[] {
    return this.spoken(service, now).flatMap(({ life }) =>
      this.refusal(life, now) === undefined ? [] : [life],
    );
  }

  /** Instants at which rests of a service's replicas end. */
  restEnds(service: string, now: number): Map<string, number> {
    const ends = new Map<string, number>();
    for (const { life, why } of this.spoken(service, now)) {
      if (why.kind === "resting") ends.set(life, why.untilMs);
    }
    return ends;
  }

  /** Replicas of a service that have said something that counts. */
  private spoken(service: string, now: number): UnwillingLife[] {
    const all = this.willingness.all(now);
    return all.filter(
      ({ life }) => this.replicas.get(life)?.service === service,
    );
  }

  /** Whether it wants no work now. */
  isUnwilling(id: string, now: number): boolean {
    return this.willingness.refusal(id, now) !== undefined;
  }

  /** Where all that may be used rest: time until the first end, ms; else 0. */
  allRestLeftMs(service: string, now: number): number {
    const rests = this.restEnds(service, now);
    const ends = this.replicas
      .usable(service, now)
      .map(({ id }) => rests.get(id) ?? now);
    return ends.length === 0 ? 0 : Math.min(...ends) - now;
  }

  private refusalFor(
    id: string,
    now: number,
    unwilling: Unwilling | undefined,
  ): string | undefined {
    if (this.replicas.get(id)?.state !== "ready") {
      return "the replica is leaving or gone";
    }
    if (unwilling?.kind === "resting") return "the replica wants a rest";
    const isLeaving = unwilling?.kind === "leaving";
    if (!isLeaving || this.willingness.isLastResort(id, now)) return undefined;
    return "the replica says that it leaves";
  }

  /** Those that leave only where there is no other, and for a short time. */
  staying(replicas: Replica[], now: number): Replica[] {
    const { willingness } = this;
    const staying = replicas.filter(
      ({ id }) => willingness.refusal(id, now)?.kind !== "leaving",
    );
    if (staying.length > 0) return staying;
    return replicas.filter(({ id }) => willingness.isLastResort(id, now));
  }

  /** Until when its word that it leaves means the same, ms. */
  leavingUntil(id: string, now: number): number {
    return this.willingness.leavingUntil(id, now);
  }
}
