/**
 * Selects the rate limits that one peer has to be sent: those that are new to
 * it, have ended, or differ much from what it was last sent. Otherwise a limit
 * that changes with each response would be sent to each process of a large
 * fleet each time. Keeps only limits in force, since a lease holder has one
 * filter per process. Pure.
 */
import type { RateNews } from "./types.js";

/** Relative change below which a limit is not sent again. */
const MIN_RELATIVE_CHANGE = 0.2;

export class RateNewsFilter {
  /** Last sent, by replica. */
  private sent = new Map<string, RateNews>();

  /** The limits in `all` to send now; they are recorded as sent. */
  selectUpdates(all: readonly RateNews[]): RateNews[] {
    const before = this.sent;
    const now = new Map<string, RateNews>();
    const news: RateNews[] = [];
    for (const item of all) {
      const sent = before.get(item.replica);
      const isSent = sent !== undefined && !hasChanged(item, sent);
      if (!isSent) news.push(item);
      now.set(item.replica, isSent ? sent : item);
    }
    this.sent = now;
    return news;
  }
}

const hasChanged = (item: RateNews, sent: RateNews): boolean => {
  const hasEnded = item.endedAgoMs !== undefined;
  if (hasEnded !== (sent.endedAgoMs !== undefined)) return true;
  if (hasEnded) return false;
  const change = Math.abs(item.perS - sent.perS);
  return change > sent.perS * MIN_RELATIVE_CHANGE;
};
