/**
 * When a holder may act with its lease's epoch as a fence: while the lease
 * was renewed lately, and not before the holder before it can have acted
 * last. Guards against two holders that act in turns.
 */

/** Beyond the time that actions of two holders must lie apart, ms. */
const TAKEOVER_MARGIN_MS = 500;

/** The lease, as far as actions need it. */
export interface HolderAuthority {
  /** Whether it was renewed lately. */
  isFresh(service: string): boolean;
  /** Grows with each holder. */
  epoch(service: string): number;
}

export class TakeoverGuard {
  private freshSince: number | undefined;
  private lastEpoch = 0;

  constructor(
    private readonly authority: HolderAuthority,
    private readonly service: string,
    /** Time that actions of two holders must lie apart, ms. */
    private readonly leaseMs: number,
  ) {}

  /** The fence to act with now; undefined: it must not act. */
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
