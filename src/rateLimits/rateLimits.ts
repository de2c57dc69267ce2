/**
 * Rate limits that replicas have reported, and the share of them that this
 * process may use. A limit applies to the sum over all senders, including those
 * that have not received it: the allocator (the process that places for all)
 * spends the whole rate and the others request permits from it. They spend a
 * small share themselves only while it can't be reached. Pure; entries are
 * keyed by replica incarnation, and times are ms of one clock.
 */
import { LRUCache } from "lru-cache";

import { DecayingSum } from "../shared/decayingSum.js";
import type { Rng } from "../shared/rng.js";
import { PermitBucket } from "./permitBucket.js";
import { PermitSlots } from "./permitSlots.js";
import type { EnginePermits, PermitShare, RateNews } from "./types.js";

/** Replica incarnations whose limits are remembered, the newest first. */
const MAX_INCARNATIONS = 8192;
/**
 * Minimum rate per second: a replica whose limit is zero still gets one request
 * in five seconds, since only a response to real work shows that the limit has
 * been raised.
 */
const MIN_PER_S = 0.2;
/** A higher reported limit counts as none. */
const MAX_PER_S = 1_000_000;
/**
 * After its end, a limit doubles in this time, ms: all senders are released at
 * the same moment and would bring back the load that overloaded the replica.
 */
const DOUBLING_MS = 1000;
/** Time after its end at which a limit is forgotten, ms. */
const RETENTION_MS = 8000;
/**
 * A limit counts as throttling if it held a request back within this time, ms.
 */
const THROTTLING_MS = 1000;
/** Time constant of the count of refused permits, ms. */
const REFUSALS_MS = 1000;
/**
 * Minimum interval between two refused permit requests, ms: bounds their rate
 * at a large fleet.
 */
const MIN_REFUSAL_INTERVAL_MS = 2;
/**
 * Lifetime of a permit, ms. A request delayed by a prefill on another engine or
 * a wait for a connection must not add to the requests that follow it. With
 * this lifetime and the burst of permits, a replica receives less than 1.5
 * times its limit in any four seconds.
 */
const PERMIT_VALID_MS = 1500;
/**
 * Permits are void once the limit falls below this fraction of the one that
 * they were issued under. A limit may vary with each response: a small fall
 * must not turn back what has been granted.
 */
const VOIDING_FRACTION = 2 / 3;
const MS_PER_SECOND = 1000;

interface KnownLimit {
  perS: number;
  /** When a response last reported it, here or at another process. */
  reportedAt: number;
  /** Highest rate since permits were last voided, per second. */
  highestPerS: number;
  /** Permits from before this instant are void. */
  validSince: number;
  /** Since when responses have not reported it. */
  endedAt: number | undefined;
  bucket: PermitBucket;
  slots: PermitSlots;
  /** Whether this process was the allocator when last checked. */
  wasAllocator: boolean;
  /** When the limit last held a request back. */
  heldBackAt: number;
  refusals: DecayingSum;
}

/** What one response reports of its replica's limit. */
export interface RateReport {
  /** Undefined: no limit reported. */
  perS: number | undefined;
  /**
   * Whether the response would report a limit if there were one: true for a
   * successful response to real work.
   */
  mayEnd: boolean;
  /** When the answered request was sent. */
  sentAt: number;
}

export class RateLimits implements EnginePermits {
  private readonly known = new LRUCache<string, KnownLimit>({
    max: MAX_INCARNATIONS,
  });
  /** The share of a replica's rate that this process may use. */
  shareOf: (replica: string) => PermitShare = () => ({
    fraction: 1,
    isAllocator: true,
  });

  constructor(private readonly rng: Rng) {}

  /**
   * Records a response; returns the update to send to other processes, if
   * anything changed.
   */
  recordAnswer(
    replica: string,
    report: RateReport,
    now: number,
  ): RateNews | undefined {
    const known = this.activeLimit(replica, now);
    const { perS } = report;
    if (perS !== undefined && perS <= MAX_PER_S) {
      const isNews = known?.perS !== perS || known.endedAt !== undefined;
      this.setLimit(replica, perS, now, now);
      return isNews
        ? { replica, perS, endedAgoMs: undefined, reportedAgoMs: 0 }
        : undefined;
    }
    if (known === undefined || known.endedAt !== undefined) return undefined;
    // Answers can arrive out of order: one to an earlier request does not prove
    // that the limit has ended.
    if (!report.mayEnd || report.sentAt <= known.reportedAt) return undefined;
    known.endedAt = now;
    const reportedAgoMs = now - known.reportedAt;
    return { replica, perS: known.perS, endedAgoMs: 0, reportedAgoMs };
  }

  /**
   * Applies an update from another process; returns whether it changed
   * anything. A process that reconnects may send what has been superseded.
   */
  applyUpdate(news: RateNews, now: number): boolean {
    const { replica, perS, endedAgoMs } = news;
    const known = this.activeLimit(replica, now);
    const changedAt = now - changedAgoMs(news);
    const knownAt = known?.endedAt ?? known?.reportedAt ?? -Infinity;
    if (changedAt < knownAt) return false;
    if (endedAgoMs === undefined) {
      const isNews = known?.perS !== perS || known.endedAt !== undefined;
      if (perS <= MAX_PER_S) this.setLimit(replica, perS, changedAt, now);
      return isNews;
    }
    if (known === undefined || known.endedAt !== undefined) return false;
    known.endedAt = changedAt;
    return true;
  }

  /**
   * What is known here of the update's replica; undefined unless it is more
   * recent and differs.
   */
  newerThan(news: RateNews, now: number): RateNews | undefined {
    const known = this.activeLimit(news.replica, now);
    if (known === undefined) return undefined;
    const own = toNews(news.replica, known, now);
    const isSame =
      own.perS === news.perS &&
      (own.endedAgoMs === undefined) === (news.endedAgoMs === undefined);
    return !isSame && changedAgoMs(own) < changedAgoMs(news) ? own : undefined;
  }

  /** All limits in force now. */
  activeLimits(now: number): RateNews[] {
    const news: RateNews[] = [];
    for (const replica of [...this.known.keys()]) {
      const known = this.activeLimit(replica, now);
      if (known === undefined) continue;
      news.push(toNews(replica, known, now));
    }
    return news;
  }

  isLimited(replica: string, now: number): boolean {
    return this.activeLimit(replica, now) !== undefined;
  }

  /** Whether the limit has held requests back recently. */
  isThrottling(replica: string, now: number): boolean {
    const known = this.activeLimit(replica, now);
    return known !== undefined && now - known.heldBackAt < THROTTLING_MS;
  }

  /** Whether a permit that dates from `permitAt` may still be used. */
  isPermitValid(replica: string, permitAt: number, now: number): boolean {
    const { validSince = -Infinity } = this.activeLimit(replica, now) ?? {};
    return permitAt >= validSince && now - permitAt <= PERMIT_VALID_MS;
  }

  mayAcquire(replica: string, now: number): boolean {
    const known = this.activeLimit(replica, now);
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
    const known = this.activeLimit(replica, now);
    if (known === undefined) return true;
    const isAllocator = this.update(replica, known, now);
    const { bucket, slots } = known;
    const isTaken = isAllocator ? bucket.take(now) : slots.take(now);
    if (isTaken) return true;
    known.heldBackAt = now;
    known.refusals.add(1, now);
    return false;
  }

  /** Time after which to request a permit again, ms. */
  waitMs(replica: string, now: number): number {
    const known = this.activeLimit(replica, now);
    if (known === undefined) return 0;
    const isAllocator = this.update(replica, known, now);
    const { bucket, slots, refusals } = known;
    const waitMs = isAllocator ? bucket.waitMs : slots.waitMs(now);
    const refusedPerS = refusals.rate(now) * MS_PER_SECOND;
    return Math.max(waitMs, refusedPerS * MIN_REFUSAL_INTERVAL_MS);
  }

  ratePerS(replica: string, now: number): number {
    const known = this.activeLimit(replica, now);
    if (known === undefined) return Infinity;
    return currentRate(known, now) * this.shareOf(replica).fraction;
  }

  /** Updates its permits; returns whether this process is the allocator. */
  private update(replica: string, known: KnownLimit, now: number): boolean {
    const { fraction, isAllocator } = this.shareOf(replica);
    const perS = currentRate(known, now) * fraction;
    if (isAllocator && !known.wasAllocator)
      known.bucket = new PermitBucket(now);
    known.wasAllocator = isAllocator;
    if (isAllocator) known.bucket.setRate(perS, now);
    else known.slots.setRate(perS, now);
    return isAllocator;
  }

  private setLimit(
    replica: string,
    perS: number,
    reportedAt: number,
    now: number,
  ): void {
    const known = this.known.get(replica);
    if (known === undefined) {
      const fresh = this.newLimit(perS, reportedAt, now);
      this.known.set(replica, fresh);
      return void this.update(replica, fresh, now);
    }
    known.highestPerS = Math.max(known.highestPerS, currentRate(known, now));
    if (perS < known.highestPerS * VOIDING_FRACTION) {
      known.highestPerS = perS;
      known.validSince = now;
      known.bucket = new PermitBucket(now);
    }
    known.perS = perS;
    known.reportedAt = reportedAt;
    known.endedAt = undefined;
  }

  private newLimit(perS: number, reportedAt: number, now: number): KnownLimit {
    return {
      perS,
      reportedAt,
      highestPerS: perS,
      validSince: -Infinity,
      endedAt: undefined,
      bucket: new PermitBucket(now),
      slots: new PermitSlots(this.rng(), now),
      wasAllocator: true,
      heldBackAt: -Infinity,
      refusals: new DecayingSum(REFUSALS_MS),
    };
  }

  /** The limit in force; undefined if there is none any more. */
  private activeLimit(replica: string, now: number): KnownLimit | undefined {
    const known = this.known.peek(replica);
    const { endedAt } = known ?? {};
    if (endedAt === undefined || now - endedAt < RETENTION_MS) return known;
    this.known.delete(replica);
    return undefined;
  }
}

/** Time since the responses that an update tells of, ms. */
const changedAgoMs = ({ endedAgoMs, reportedAgoMs }: RateNews): number =>
  endedAgoMs ?? reportedAgoMs;

const toNews = (
  replica: string,
  { perS, endedAt, reportedAt }: KnownLimit,
  now: number,
): RateNews => ({
  replica,
  perS,
  endedAgoMs: endedAt === undefined ? undefined : now - endedAt,
  reportedAgoMs: now - reportedAt,
});

/** Requests per second that the replica takes from all processes now. */
const currentRate = ({ perS, endedAt }: KnownLimit, now: number): number => {
  const limitPerS = Math.max(perS, MIN_PER_S);
  if (endedAt === undefined) return limitPerS;
  return limitPerS * 2 ** ((now - endedAt) / DOUBLING_MS);
};
