/**
 * Answers queries about the signals of listed replicas: for choosing a
 * replica, for sending to it, and for a caller's retry delay. `Availability`
 * interprets the signals themselves.
 */
import type { Replica, ReplicaSignal } from "./types.js";
import { Availability } from "./availability.js";
import type {
  UnavailableReason,
  UnavailableReplica,
  SignalChange,
} from "./availability.js";

/** The replica list that the signals refer to. */
export interface ListedReplicas {
  /** Incremented on each change of the usable replicas. */
  revision: number;
  get(id: string): Replica | undefined;
  /** Whether its entry allows work to be sent to it now. */
  isReady(id: string, now: number): boolean;
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
   * Records the signal in a response of that replica; `isProven`: the response
   * belongs to the request that was sent.
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

  /** Records a leaving signal that another process received. */
  markLeaving(id: string, now: number): void {
    const change = this.availability.markLeaving(id, now);
    if (change !== undefined) this.replicas.revision += 1;
  }

  /** Why it may get no work; undefined if it may. */
  refusal(id: string, now: number): string | undefined {
    return this.refusalFor(id, now, this.availability.refusal(id, now));
  }

  /** Like `refusal`, for work that is sent now; see `Availability`. */
  refusalAtSend(id: string, now: number): string | undefined {
    return this.refusalFor(id, now, this.availability.refusalAtSend(id, now));
  }

  /** Ids of a service's replicas that accept no work from this process now. */
  unavailableIds(service: string, now: number): string[] {
    return this.unavailableOfService(service, now).flatMap(({ id }) =>
      this.refusal(id, now) === undefined ? [] : [id],
    );
  }

  /** Instants at which the back-offs of a service's replicas end, ms, by id. */
  backOffEnds(service: string, now: number): Map<string, number> {
    const ends = new Map<string, number>();
    for (const { id, reason } of this.unavailableOfService(service, now)) {
      if (reason.kind === "backing-off") ends.set(id, reason.untilMs);
    }
    return ends;
  }

  /** Replicas of a service with a leaving signal or back-off in force. */
  private unavailableOfService(
    service: string,
    now: number,
  ): UnavailableReplica[] {
    const all = this.availability.unavailableReplicas(now);
    return all.filter(({ id }) => this.replicas.get(id)?.service === service);
  }

  /** Whether it is leaving or backs off now. */
  isUnavailable(id: string, now: number): boolean {
    return this.availability.refusal(id, now) !== undefined;
  }

  /**
   * Time until the first usable replica accepts requests again, ms, if all of
   * them back off or are held back; otherwise 0. `heldUntil`: instant until
   * which a replica is left out for another reason.
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
    if (!this.replicas.isReady(id, now)) {
      return "the replica is leaving or gone";
    }
    if (unavailable?.kind === "backing-off")
      return "the replica asks for back-off";
    const isLeaving = unavailable?.kind === "leaving";
    if (!isLeaving || this.availability.isLastResort(id, now)) return undefined;
    return "the replica says that it leaves";
  }

  /**
   * Drops leaving replicas. If all are leaving, those that began recently
   * remain as a last resort.
   */
  withoutLeaving(replicas: Replica[], now: number): Replica[] {
    const { availability } = this;
    const staying = replicas.filter(
      ({ id }) => availability.refusal(id, now)?.kind !== "leaving",
    );
    if (staying.length > 0) return staying;
    return replicas.filter(({ id }) => availability.isLastResort(id, now));
  }

  /** Instant of the next change of its leaving state, ms; Infinity if none. */
  leavingUnchangedUntil(id: string, now: number): number {
    return this.availability.leavingUnchangedUntil(id, now);
  }
}
