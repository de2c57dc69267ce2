/**
 * Decides at the lease holder which shares each entry is sent, and when. Pure.
 */
import type { FlowShare } from "../scheduling/index.js";

/**
 * Age at which a set of shares is replaced, ms. With the interval at which the
 * holder looks, entries get a set every 100 ms at the latest.
 */
export const SHARES_INTERVAL_MS = 70;
/** Interval at which the holder looks for sets to send, ms. */
export const SHARES_CHECK_INTERVAL_MS = 25;
/**
 * How long an entry that sent a request or a count gets the shares, ms. Others
 * have no use for them until they ask again.
 */
const SUBSCRIPTION_MS = 1000;

/** A set of shares as sent to an entry. */
export interface ShareNews {
  shares: readonly FlowShare[];
  /** Increases with each set. */
  revision: number;
}

interface Subscriber {
  askedAt: number;
  sentRevision: number;
  /** Whether the last set sent limits a flow. */
  isLimited: boolean;
}

/** Flows of which every request is admitted are not listed. */
const limitedOnly = (shares: readonly FlowShare[]): FlowShare[] =>
  shares.filter(({ admit }) => admit < 1);

export class SharePublisher<Entry> {
  private news: ShareNews = { shares: [], revision: 0 };
  private computedAt = -Infinity;
  private readonly subscribers = new Map<Entry, Subscriber>();

  /**
   * Replaces the current set once it is old, or at once when there was none and
   * there is contention. Returns whether contention has begun or ended.
   */
  refresh(now: number, shares: (now: number) => FlowShare[]): boolean {
    const wasLimited = this.isLimited;
    if (wasLimited && now - this.computedAt < SHARES_INTERVAL_MS) return false;
    const limited = limitedOnly(shares(now));
    if (!wasLimited && limited.length === 0) return false;
    this.computedAt = now;
    this.news = { shares: limited, revision: this.news.revision + 1 };
    return wasLimited !== this.isLimited;
  }

  /** Whether any flow is limited. */
  get isLimited(): boolean {
    return this.news.shares.length > 0;
  }

  /** Number of flows that are limited. */
  get limitedFlows(): number {
    return this.news.shares.length;
  }

  /** The entry has sent a request, or counts of refused ones. */
  recordAsk(entry: Entry, now: number): void {
    const known = this.subscribers.get(entry);
    if (known !== undefined) known.askedAt = now;
    else
      this.subscribers.set(entry, {
        askedAt: now,
        sentRevision: 0,
        isLimited: false,
      });
  }

  remove(entry: Entry): void {
    this.subscribers.delete(entry);
  }

  /**
   * The current set if the entry has not been sent it; an empty one only after
   * one that limited a flow.
   */
  takeNews(entry: Entry): ShareNews | undefined {
    const known = this.subscribers.get(entry);
    if (known === undefined || !this.hasNews(entry)) return undefined;
    const { news } = this;
    known.sentRevision = news.revision;
    known.isLimited = this.isLimited;
    return news;
  }

  hasNews(entry: Entry): boolean {
    const known = this.subscribers.get(entry);
    if (known === undefined) return false;
    if (known.sentRevision === this.news.revision) return false;
    return this.isLimited || known.isLimited;
  }

  /** Entries that are to be sent the current set if they have not been. */
  subscribed(now: number): Entry[] {
    const entries: Entry[] = [];
    for (const [entry, { askedAt }] of this.subscribers)
      if (now - askedAt <= SUBSCRIPTION_MS) entries.push(entry);
    return entries;
  }
}
