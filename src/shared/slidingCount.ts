/** A count over the last time, by a few slots of it. Pure; times are ms. */

/** Parts of the time that are counted apart. */
const SLOTS = 10;

export class SlidingCount {
  private readonly slotMs: number;
  /** Counts by number of the slot since the begin of the clock. */
  private readonly slots = new Map<number, number>();

  constructor(windowMs: number) {
    this.slotMs = windowMs / SLOTS;
  }

  add(count: number, now: number): void {
    const slot = this.slotAt(now);
    this.slots.set(slot, (this.slots.get(slot) ?? 0) + count);
    for (const old of this.slots.keys()) {
      if (old < slot - SLOTS) this.slots.delete(old);
    }
  }

  /** What came in the last window, and perhaps a slot more. */
  upperBound(now: number): number {
    return this.sumSince(this.slotAt(now) - SLOTS);
  }

  /** What came in the last window, perhaps but for a slot. */
  lowerBound(now: number): number {
    return this.sumSince(this.slotAt(now) - SLOTS + 1);
  }

  private sumSince(first: number): number {
    let sum = 0;
    for (const [slot, count] of this.slots) if (slot >= first) sum += count;
    return sum;
  }

  private slotAt(now: number): number {
    return Math.floor(now / this.slotMs);
  }
}
