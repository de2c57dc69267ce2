/** What one process knows of the holder of one service. */
import type { LeaseKeeper } from "./leaseKeeper.js";
import type { PlacementClient } from "./placementClient.js";

/** The largest number of entries that was counted counts for this long, ms. */
const ENTRIES_HOLD_MS = 30_000;

export class HolderConnection {
  client: PlacementClient | undefined;
  /** Whether the holder says that its lease is fresh. */
  isFresh = true;
  /** Since when there is no holder with a fresh lease, ms. */
  noFreshHolderSince: number | undefined;
  /** How long this process leaves looking for another to others, ms. */
  searchDelayMs = 0;
  private counted: { entryCount: number; at: number } | undefined;

  constructor(
    readonly service: string,
    readonly keeper: LeaseKeeper,
  ) {}

  /** The holder, this process or another, counts so many entries. */
  recordEntryCount(entries: number, now: number): void {
    const { counted } = this;
    const isOld = counted === undefined || now - counted.at > ENTRIES_HOLD_MS;
    if (isOld || entries >= counted.entryCount) {
      this.counted = { entryCount: entries, at: now };
    }
  }

  /**
   * The most that were counted lately, one at least; undefined: nobody has. A
   * new holder counts from one on while they come to it.
   */
  get entryCount(): number | undefined {
    const { counted } = this;
    return counted === undefined ? undefined : Math.max(1, counted.entryCount);
  }
}
