/**
 * Which limits one peer has to be told: those that are new to it, have ended,
 * or differ much from what it was told. A limit that changes with each answer
 * would else be told to each process of a large fleet each time. Pure.
 */
import { LRUCache } from "lru-cache";

import type { RateNews } from "./types.js";

const MAX_LIVES = 8192;
/** A limit that differs by a smaller part is not told again. */
const LEAST_CHANGE_PART = 0.2;

export class RateNewsFilter {
  private readonly told = new LRUCache<string, RateNews>({ max: MAX_LIVES });

  /** Those of `all` that are to be told; they count as told from now on. */
  pick(all: readonly RateNews[]): RateNews[] {
    const news = all.filter((item) =>
      isNews(item, this.told.get(item.replica)),
    );
    for (const item of news) this.told.set(item.replica, item);
    return news;
  }
}

const isNews = (item: RateNews, told: RateNews | undefined): boolean => {
  const hasEnded = item.endedAgoMs !== undefined;
  if (told === undefined) return true;
  if (hasEnded !== (told.endedAgoMs !== undefined)) return true;
  if (hasEnded) return false;
  const change = Math.abs(item.perS - told.perS);
  return change > told.perS * LEAST_CHANGE_PART;
};
