/** A count over a sliding window, divided into slots. Times are in ms. */

/** Slots per window. */
const SLOTS = 10;

export class SlidingCount {
  private readonly slotMs: number;
  /** Counts by slot number; slot 0 starts at time 0 of the clock. */
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

  /** Upper bound of the count: may include up to one slot too much. */
  upperBound(now: number): number {
    return this.sumSince(this.slotAt(now) - SLOTS);
  }

  /** Lower bound of the count: may miss up to one slot. */
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
