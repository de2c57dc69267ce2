/**
 * Decides when a lease holder may act with its epoch as a fencing number: while
 * its lease is fresh, and not before the previous holder can have acted for the
 * last time. Guards against two holders acting in turns.
 */

/** Margin added to the minimum time between actions of two holders, ms. */
const TAKEOVER_MARGIN_MS = 500;

/** The lease state that actions depend on. */
export interface HolderAuthority {
  /** Whether the lease was renewed recently. */
  isFresh(service: string): boolean;
  /** Incremented with each new holder. */
  epoch(service: string): number;
}

export class TakeoverGuard {
  private freshSince: number | undefined;
  private lastEpoch = 0;

  constructor(
    private readonly authority: HolderAuthority,
    private readonly service: string,
    /** Minimum time between actions of two holders, ms. */
    private readonly leaseMs: number,
  ) {}

  /** The fencing number to act with now; undefined if it must not act. */
  fencingEpoch(now: number): number | undefined {
    const { service, authority, leaseMs } = this;
    const epoch = authority.epoch(service);
    const isFresh = authority.isFresh(service);
    if (!isFresh || epoch !== this.lastEpoch) this.freshSince = undefined;
    this.lastEpoch = epoch;
    if (!isFresh) return undefined;
    this.freshSince ??= now;
    const hasWaited = now - this.freshSince >= leaseMs + TAKEOVER_MARGIN_MS;
    return hasWaited ? epoch : undefined;
  }
}
