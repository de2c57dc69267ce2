/**
 * The rates that replicas have said they take from all processes together,
 * and how much of them this process may use. A limit binds the sum over all
 * senders, also those that did not hear it: the process that places for all
 * spends it whole, others ask it, and spend a small part by themselves only
 * while it can't be reached. By life of a replica; pure; times are ms of one
 * clock.
 */
import { LRUCache } from "lru-cache";

import { FadingSum } from "../shared/fadingSum.js";
import type { Rng } from "../shared/rng.js";
import { PermitBucket } from "./permitBucket.js";
import { PermitSlots } from "./permitSlots.js";
import type { EnginePermits, PermitShare, RateNews } from "./types.js";

/** Lives whose limits are remembered, the newest first. */
const MAX_LIVES = 8192;
/**
 * A replica that takes nothing gets one request in five seconds, a second:
 * only an answer to work tells that it takes more again.
 */
const LEAST_PER_S = 0.2;
/** A limit above this is none. */
const MOST_PER_S = 1_000_000;
/**
 * After its end a limit doubles in this time, ms, …: all senders are freed in
 * the same moment, and would return the load that had put the replica in need.
 */
const DOUBLING_MS = 1000;
/** … and is forgotten after this, ms. */
const FORGOTTEN_MS = 8000;
/** A limit that kept a request back within this time binds, ms. */
const BINDS_MS = 1000;
/** Refused asks are counted over this time, ms. */
const REFUSALS_MS = 1000;
/** Between two asks that are refused, ms: bounds what a large fleet asks. */
const REFUSED_GAP_MS = 2;
const MS_PER_SECOND = 1000;

interface Known {
  perS: number;
  /** When an answer named it last, here or at another process. */
  heardAt: number;
  /** Since when answers name none. */
  endedAt: number | undefined;
  bucket: PermitBucket;
  slots: PermitSlots;
  /** The process was the only one to spend it when last looked at. */
  wasAllocator: boolean;
  /** When it kept a request back last. */
  heldBackAt: number;
  refusals: FadingSum;
}

/** What one answer says of the limit of its replica. */
export interface RateReport {
  /** Undefined: names none. */
  perS: number | undefined;
  /** Whether it would name a limit if there were one: a success of work. */
  mayEnd: boolean;
  /** When the request left that it answers. */
  sentAt: number;
}

export class RateLimits implements EnginePermits {
  private readonly known = new LRUCache<string, Known>({ max: MAX_LIVES });
  /** The share of this process in what a replica takes. */
  shareOf: (replica: string) => PermitShare = () => ({
    fraction: 1,
    isAllocator: true,
  });

  constructor(private readonly rng: Rng) {}

  /** Takes in an answer; what others have to be told, if anything changed. */
  recordAnswer(
    replica: string,
    word: RateReport,
    now: number,
  ): RateNews | undefined {
    const known = this.current(replica, now);
    const { perS } = word;
    if (perS !== undefined && perS <= MOST_PER_S) {
      const isNews = known?.perS !== perS || known.endedAt !== undefined;
      this.name(replica, perS, now);
      return isNews ? { replica, perS, endedAgoMs: undefined } : undefined;
    }
    if (known === undefined || known.endedAt !== undefined) return undefined;
    // Answers overtake each other: one to an older request proves no end.
    if (!word.mayEnd || word.sentAt <= known.heardAt) return undefined;
    known.endedAt = now;
    return { replica, perS: known.perS, endedAgoMs: 0 };
  }

  /** Another process has heard this; whether it was news here. */
  applyUpdate({ replica, perS, endedAgoMs }: RateNews, now: number): boolean {
    const known = this.current(replica, now);
    const isEnd = endedAgoMs !== undefined;
    if (!isEnd) {
      const isNews = known?.perS !== perS || known.endedAt !== undefined;
      if (perS <= MOST_PER_S) this.name(replica, perS, now);
      return isNews;
    }
    if (known === undefined || known.endedAt !== undefined) return false;
    known.endedAt = now - endedAgoMs;
    return true;
  }

  /** All that is in force now. */
  activeLimits(now: number): RateNews[] {
    const news: RateNews[] = [];
    for (const replica of [...this.known.keys()]) {
      const known = this.current(replica, now);
      if (known === undefined) continue;
      const { perS, endedAt } = known;
      const endedAgoMs = endedAt === undefined ? undefined : now - endedAt;
      news.push({ replica, perS, endedAgoMs });
    }
    return news;
  }

  isLimited(replica: string, now: number): boolean {
    return this.current(replica, now) !== undefined;
  }

  /** Whether its limit keeps requests from it. */
  isThrottling(replica: string, now: number): boolean {
    const known = this.current(replica, now);
    return known !== undefined && now - known.heldBackAt < BINDS_MS;
  }

  mayAcquire(replica: string, now: number): boolean {
    const known = this.current(replica, now);
    if (known === undefined) return true;
    const isAllocator = this.update(replica, known, now);
    const { bucket, slots } = known;
    const isAvailable = isAllocator
      ? bucket.isAvailable
      : slots.isAvailable(now);
    if (!isAvailable) known.heldBackAt = now;
    return isAvailable;
  }

  acquire(replica: string, now: number): boolean {
    const known = this.current(replica, now);
    if (known === undefined) return true;
    const isAllocator = this.update(replica, known, now);
    const { bucket, slots } = known;
    const isTaken = isAllocator ? bucket.take(now) : slots.take(now);
    if (isTaken) return true;
    known.heldBackAt = now;
    known.refusals.add(1, now);
    return false;
  }

  /** When it is worth to ask again, ms from now. */
  waitMs(replica: string, now: number): number {
    const known = this.current(replica, now);
    if (known === undefined) return 0;
    const isAllocator = this.update(replica, known, now);
    const { bucket, slots, refusals } = known;
    const waitMs = isAllocator ? bucket.waitMs : slots.waitMs(now);
    const refusedPerS = refusals.rate(now) * MS_PER_SECOND;
    return Math.max(waitMs, refusedPerS * REFUSED_GAP_MS);
  }

  ratePerS(replica: string, now: number): number {
    const known = this.current(replica, now);
    if (known === undefined) return Infinity;
    return rateOf(known, now) * this.shareOf(replica).fraction;
  }

  /** Brings its permits up to date; whether this process spends alone. */
  private update(replica: string, known: Known, now: number): boolean {
    const { fraction, isAllocator } = this.shareOf(replica);
    const perS = rateOf(known, now) * fraction;
    if (isAllocator && !known.wasAllocator)
      known.bucket = new PermitBucket(now);
    known.wasAllocator = isAllocator;
    if (isAllocator) known.bucket.setRate(perS, now);
    else known.slots.setRate(perS, now);
    return isAllocator;
  }

  private name(replica: string, perS: number, now: number): void {
    const known = this.known.get(replica);
    if (known === undefined) {
      const fresh = this.newKnown(perS, now);
      this.known.set(replica, fresh);
      return void this.update(replica, fresh, now);
    }
    known.perS = perS;
    known.heardAt = now;
    known.endedAt = undefined;
  }

  private newKnown(perS: number, now: number): Known {
    return {
      perS,
      heardAt: now,
      endedAt: undefined,
      bucket: new PermitBucket(now),
      slots: new PermitSlots(this.rng(), now),
      wasAllocator: true,
      heldBackAt: -Infinity,
      refusals: new FadingSum(REFUSALS_MS),
    };
  }

  /** Undefined where none is in force any more. */
  private current(replica: string, now: number): Known | undefined {
    const known = this.known.peek(replica);
    const { endedAt } = known ?? {};
    if (endedAt === undefined || now - endedAt < FORGOTTEN_MS) return known;
    this.known.delete(replica);
    return undefined;
  }
}

/** Requests a second to it from all processes now. */
const rateOf = ({ perS, endedAt }: Known, now: number): number => {
  const least = Math.max(perS, LEAST_PER_S);
  if (endedAt === undefined) return least;
  return least * 2 ** ((now - endedAt) / DOUBLING_MS);
};
