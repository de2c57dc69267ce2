/**
 * Bounds the memory that callers hold of a process, all together: heads, bodies
 * and answers that nobody has read. Beyond the bound those that have held most
 * for longest give theirs back. Does no I/O; the clock is passed in.
 */

import type { BufferReclaimer } from "./bufferReclaimer.js";

/** Holdings of up to this size are not refused for what requests in progress hold. */
const SMALL_BYTES = 64 * 1024;
/** Part of the bound that requests in progress may hold with their bodies. */
const IN_PROGRESS_FRACTION = 0.75;
/** Part of the bound up to which large heads are taken. */
const HEADS_FRACTION = 0.5;
/** What is left after an eviction, as part of the bound, so that one lasts. */
const AFTER_EVICTION_FRACTION = 0.9;

/** What one request or connection holds. */
export interface Holding {
  /** Sets what it holds by now, bytes. */
  set(bytes: number): void;
  /** From now on it is not evicted: its request is in progress. */
  pin(): void;
  /** It may be evicted again. */
  unpin(): void;
  release(): void;
}

class CountedHolding implements Holding {
  bytes = 0;
  isPinned = false;
  /** When it began to hold what it holds; ms. */
  since = 0;

  constructor(
    private readonly memory: CallerMemory,
    /** Gives up what it holds, by closing a connection or refusing a request. */
    readonly evict: () => void,
  ) {}

  set(bytes: number): void {
    this.memory.set(this, bytes);
  }

  pin(): void {
    this.memory.setPinned(this, true);
  }

  unpin(): void {
    this.memory.setPinned(this, false);
  }

  release(): void {
    this.memory.set(this, 0);
  }
}

export class CallerMemory {
  private readonly holdings = new Set<CountedHolding>();
  private total = 0;
  private pinned = 0;
  private isEvicting = false;

  constructor(
    readonly maxBytes: number,
    private readonly now: () => number,
    private readonly reclaimer?: Pick<BufferReclaimer, "record">,
  ) {}

  get heldBytes(): number {
    return this.total;
  }

  /** `evict` is called once the holding was released for another one. */
  hold(evict: () => void): Holding {
    return new CountedHolding(this, evict);
  }

  /** Counts bytes of buffers that are no longer used. */
  recordReleased(bytes: number): void {
    this.reclaimer?.record(bytes, this.total);
  }

  /** Whether a body of this size fits beside those of requests in progress. */
  hasRoomFor(bytes: number): boolean {
    if (bytes <= SMALL_BYTES) return true;
    return this.pinned + bytes <= this.maxBytes * IN_PROGRESS_FRACTION;
  }

  /** Whether a head of this size fits beside all that is held. */
  hasRoomForHead(bytes: number): boolean {
    if (bytes <= SMALL_BYTES) return true;
    return this.total + bytes <= this.maxBytes * HEADS_FRACTION;
  }

  /** Used by holdings. */
  set(holding: CountedHolding, bytes: number): void {
    if (holding.bytes === 0) holding.since = this.now();
    this.total += bytes - holding.bytes;
    if (holding.isPinned) this.pinned += bytes - holding.bytes;
    holding.bytes = bytes;
    if (bytes > 0) this.holdings.add(holding);
    else this.holdings.delete(holding);
    if (!holding.isPinned && !this.hasRoomFor(bytes)) this.evict(holding);
    if (this.total > this.maxBytes) this.evictMost();
  }

  /** Used by holdings. */
  setPinned(holding: CountedHolding, isPinned: boolean): void {
    if (holding.isPinned === isPinned) return;
    this.pinned += isPinned ? holding.bytes : -holding.bytes;
    holding.isPinned = isPinned;
    holding.since = this.now();
  }

  private evictMost(): void {
    if (this.isEvicting) return;
    this.isEvicting = true;
    const goal = this.maxBytes * AFTER_EVICTION_FRACTION;
    const now = this.now();
    const burden = ({ bytes, since }: CountedHolding) =>
      bytes * (now - since + 1);
    const evictable = [...this.holdings].filter((item) => !item.isPinned);
    evictable.sort((one, other) => burden(other) - burden(one));
    for (const holding of evictable) {
      if (this.total <= goal) break;
      this.evict(holding);
    }
    this.isEvicting = false;
  }

  private evict(holding: CountedHolding): void {
    holding.release();
    holding.evict();
  }
}
