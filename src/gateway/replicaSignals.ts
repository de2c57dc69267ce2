/**
 * What the listed replicas have said of themselves, as those ask who choose
 * one, send to one, or tell a caller when to come back. The signals themselves
 * are judged by `Availability`.
 */
import type { Replica, ReplicaSignal } from "./types.js";
import { Availability } from "./availability.js";
import type {
  UnavailableReason,
  UnavailableReplica,
  SignalChange,
} from "./availability.js";

/** The list that the signals are of. */
export interface ListedReplicas {
  /** Grows with each change of what may be used. */
  revision: number;
  get(id: string): Replica | undefined;
  usable(service: string, now: number): Replica[];
}

export class ReplicaSignals {
  private readonly availability: Availability;

  /** `lastResortMs`: see `Availability`. */
  constructor(
    private readonly replicas: ListedReplicas,
    lastResortMs: number,
  ) {
    this.availability = new Availability(lastResortMs);
  }

  /**
   * An answer of that life says this of it; `isProven`: the answer belongs to
   * the request that was sent.
   */
  record(
    id: string,
    signal: ReplicaSignal,
    isProven: boolean,
    now: number,
  ): SignalChange {
    const change = this.availability.record(id, signal, isProven, now);
    if (change !== undefined) this.replicas.revision += 1;
    return change;
  }

  /** Another process heard it say that it leaves. */
  markLeaving(id: string, now: number): void {
    const change = this.availability.markLeaving(id, now);
    if (change !== undefined) this.replicas.revision += 1;
  }

  /** Why no work goes to it; undefined: it may get some. */
  refusal(id: string, now: number): string | undefined {
    return this.refusalFor(id, now, this.availability.refusal(id, now));
  }

  /** The same for work that leaves now. */
  refusalAtSend(id: string, now: number): string | undefined {
    return this.refusalFor(id, now, this.availability.refusalAtSend(id, now));
  }

  /** Replicas of a service that want no work of this process now. */
  unavailableIds(service: string, now: number): string[] {
    return this.unavailableOfService(service, now).flatMap(({ id }) =>
      this.refusal(id, now) === undefined ? [] : [id],
    );
  }

  /** Instants at which back-offs of a service's replicas end. */
  backOffEnds(service: string, now: number): Map<string, number> {
    const ends = new Map<string, number>();
    for (const { id, reason } of this.unavailableOfService(service, now)) {
      if (reason.kind === "backing-off") ends.set(id, reason.untilMs);
    }
    return ends;
  }

  /** Replicas of a service that have said something that counts. */
  private unavailableOfService(
    service: string,
    now: number,
  ): UnavailableReplica[] {
    const all = this.availability.unavailableReplicas(now);
    return all.filter(({ id }) => this.replicas.get(id)?.service === service);
  }

  /** Whether it wants no work now. */
  isUnavailable(id: string, now: number): boolean {
    return this.availability.refusal(id, now) !== undefined;
  }

  /**
   * Where all that may be used back off: time until the first end, ms; else 0.
   * `heldUntil`: until when a replica is left out for another reason.
   */
  untilAvailableMs(
    service: string,
    now: number,
    heldUntil: (id: string) => number = () => now,
  ): number {
    const backOffs = this.backOffEnds(service, now);
    const ends = this.replicas
      .usable(service, now)
      .map(({ id }) => Math.max(backOffs.get(id) ?? now, heldUntil(id)));
    return ends.length === 0 ? 0 : Math.min(...ends) - now;
  }

  private refusalFor(
    id: string,
    now: number,
    unavailable: UnavailableReason | undefined,
  ): string | undefined {
    if (this.replicas.get(id)?.state !== "ready") {
      return "the replica is leaving or gone";
    }
    if (unavailable?.kind === "backing-off")
      return "the replica asks for back-off";
    const isLeaving = unavailable?.kind === "leaving";
    if (!isLeaving || this.availability.isLastResort(id, now)) return undefined;
    return "the replica says that it leaves";
  }

  /** Those that leave only where there is no other, and for a short time. */
  withoutLeaving(replicas: Replica[], now: number): Replica[] {
    const { availability } = this;
    const staying = replicas.filter(
      ({ id }) => availability.refusal(id, now)?.kind !== "leaving",
    );
    if (staying.length > 0) return staying;
    return replicas.filter(({ id }) => availability.isLastResort(id, now));
  }

  /** Until when its signal that it leaves means the same, ms. */
  leavingUnchangedUntil(id: string, now: number): number {
    return this.availability.leavingUnchangedUntil(id, now);
  }
}
