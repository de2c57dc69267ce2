/**
 * Which limits one peer has to be told: those that are new to it, have ended,
 * or differ much from what it was told. A limit that changes with each answer
 * would else be told to each process of a large fleet each time. Holds no more
 * than is in force: a holder has one of these for each process. Pure.
 */
import type { RateNews } from "./types.js";

/** A limit that differs by a smaller part is not told again. */
const LEAST_CHANGE_PART = 0.2;

export class RateNewsFilter {
  /** By replica. */
  private told = new Map<string, RateNews>();

  /** Those of `all` that are to be told; they count as told from now on. */
  selectUpdates(all: readonly RateNews[]): RateNews[] {
    const before = this.told;
    const now = new Map<string, RateNews>();
    const news: RateNews[] = [];
    for (const item of all) {
      const told = before.get(item.replica);
      const isTold = told !== undefined && !isNews(item, told);
      if (!isTold) news.push(item);
      now.set(item.replica, isTold ? told : item);
    }
    this.told = now;
    return news;
  }
}

const isNews = (item: RateNews, told: RateNews): boolean => {
  const hasEnded = item.endedAgoMs !== undefined;
  if (hasEnded !== (told.endedAgoMs !== undefined)) return true;
  if (hasEnded) return false;
  const change = Math.abs(item.perS - told.perS);
  return change > told.perS * LEAST_CHANGE_PART;
};
