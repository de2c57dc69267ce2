/**
 * What lease holders have reported to this process of the store: for each watched
 * kind the position of the last change that the holder has seen. A watch that
 * is as new may wait long, because a change that its connection loses is
 * noticed from the holder's newer position. Pure.
 */
import type { FeedChanges } from "./feed.js";
import { decodePosition } from "./position.js";

/** Position of the last change of one kind that a process has seen. */
export interface SeenRevision {
  kind: string;
  revision: number;
}

/** Positions as a holder has sent them. */
export interface HolderNews {
  /** Whether the holder's lease is fresh. */
  isFresh: boolean;
  /** Entries that place through the holder. */
  entries: number;
  seen: readonly SeenRevision[];
}

/**
 * Long waits are used from this number of entries on: smaller fleets make so
 * few calls that they would save nothing.
 */
export const MIN_VOUCHED_ENTRIES = 16;
/**
 * How long a position stays valid, ms. The holder repeats it each 600 ms, and a
 * message may be 400 ms late; callers need the news of a lost replica within a
 * second or two.
 */
const VOUCH_VALID_MS = 1000;
/**
 * Positions of a kind kept with the time of their first report. Those dropped
 * were reported seconds ago, so that no decision needs their exact time.
 */
const MAX_REPORTS = 16;

export interface Vouch {
  /** Highest position that a holder has reported. */
  revision: number;
  /**
   * When a position later than that of the watch was first reported, ms;
   * undefined if none was.
   */
  aheadSince: number | undefined;
}

/** A position, and when it was first reported, ms. */
interface Report {
  revision: number;
  at: number;
}

interface KindReports {
  /** In order of time and position. */
  reports: readonly Report[];
  /** When a holder last reported any position of this kind, ms. */
  reportedAt: number;
}

/** The positions that a holder sends; none while they would not be used. */
export const revisionsToSend = (news: HolderNews): readonly SeenRevision[] =>
  news.isFresh && news.entries >= MIN_VOUCHED_ENTRIES ? news.seen : [];

export class HolderVouches {
  private readonly byKind = new Map<string, KindReports>();

  record(news: HolderNews, now: number): void {
    for (const { kind, revision } of revisionsToSend(news)) {
      const reports = this.find(kind, now);
      const highest = reports.at(-1)?.revision ?? -Infinity;
      // Another holder may be behind; the highest position counts.
      const isNewer = revision > highest;
      const added = isNewer ? [...reports, { revision, at: now }] : reports;
      const kept = added.slice(-MAX_REPORTS);
      this.byKind.set(kind, { reports: kept, reportedAt: now });
    }
  }

  /**
   * The vouch for a watch at `position`; undefined while no fresh holder has
   * sent one recently, or if it is of another era of the store.
   */
  vouchFor(kind: string, position: number, now: number): Vouch | undefined {
    const reports = this.find(kind, now);
    const revision = reports.at(-1)?.revision;
    if (revision === undefined) return undefined;
    const { era } = decodePosition(revision);
    if (era !== decodePosition(position).era) return undefined;
    const ahead = reports.find((report) => report.revision > position);
    return { revision, aheadSince: ahead?.at };
  }

  /** Empty while no fresh holder has reported a position recently. */
  private find(kind: string, now: number): readonly Report[] {
    const known = this.byKind.get(kind);
    if (known === undefined) return [];
    return now - known.reportedAt <= VOUCH_VALID_MS ? known.reports : [];
  }
}

/**
 * Store position of the last change in an answer. That of a removal is not
 * known; the position that the answer reaches is at least as high.
 */
export const lastChangeOf = (
  reply: Extract<FeedChanges, { kind: "changes" }>,
): number =>
  reply.changes.some(({ isRemoved }) => isRemoved)
    ? reply.revision
    : Math.max(...reply.changes.map(({ item }) => item.revision));
