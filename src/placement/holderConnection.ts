/** What one process knows about the lease holder of one service. */
import type { EntryAdmission } from "./entryAdmission.js";
import type { LeaseKeeper } from "./leaseKeeper.js";
import type { PlacementClient } from "./placementClient.js";

/** How long the highest entry count stays valid, ms. */
const ENTRY_COUNT_TTL_MS = 30_000;

export class HolderConnection {
  client: PlacementClient | undefined;
  /** Whether the holder reports that its lease is fresh. */
  isFresh = true;
  /** Since when there has been no holder with a fresh lease, ms. */
  noFreshHolderSince: number | undefined;
  /** How long this process waits for others to find a new holder first, ms. */
  searchDelayMs = 0;
  private counted: { entryCount: number; at: number } | undefined;

  constructor(
    readonly service: string,
    readonly keeper: LeaseKeeper,
    readonly admission: EntryAdmission,
  ) {}

  /**
   * Records the entry count reported by the holder (this process or another).
   */
  recordEntryCount(entries: number, now: number): void {
    const { counted } = this;
    const isOld =
      counted === undefined || now - counted.at > ENTRY_COUNT_TTL_MS;
    if (isOld || entries >= counted.entryCount) {
      this.counted = { entryCount: entries, at: now };
    }
  }

  /**
   * The highest recent entry count, at least 1; undefined if none is known. A
   * new holder starts counting at one while entries connect to it.
   */
  get entryCount(): number | undefined {
    const { counted } = this;
    return counted === undefined ? undefined : Math.max(1, counted.entryCount);
  }
}
