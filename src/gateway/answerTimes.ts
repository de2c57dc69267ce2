/** When an answer of a route is slow, by its last answer times. No I/O. */
import { LRUCache } from "lru-cache";
import { quantileSorted } from "simple-statistics";

/** Answer times kept per route: the 95th percentile rests on six of them. */
const MAX_TIMES = 128;
/** Fewer answers give no 95th percentile. */
const MIN_TIMES = 20;
const SLOW_QUANTILE = 0.95;
/**
 * Never below this times the median: where answer times are all alike, the
 * percentile is within their noise.
 */
const MIN_OF_MEDIAN = 1.5;
/** Never below this, ms: a small entry may itself be delayed as long. */
const MIN_SLOW_MS = 20;
/** Routes whose times are kept; the least recently used are evicted. */
const MAX_ROUTES = 1024;

/** The times of one route, ms: `latest` in order of arrival. */
interface RouteTimes {
  latest: number[];
  sorted: number[];
}

export class AnswerTimes {
  private readonly times = new LRUCache<string, RouteTimes>({
    max: MAX_ROUTES,
  });

  /** `elapsedMs`: from the first send to the good answer. */
  record(route: string, elapsedMs: number): void {
    const times = this.times.get(route) ?? { latest: [], sorted: [] };
    const { latest, sorted } = times;
    latest.push(elapsedMs);
    // Sorting at each request took 25 µs with 128 times.
    const next = sorted.findIndex((item) => item > elapsedMs);
    sorted.splice(next < 0 ? sorted.length : next, 0, elapsedMs);
    if (latest.length > MAX_TIMES) {
      sorted.splice(sorted.indexOf(latest.shift()!), 1);
    }
    this.times.set(route, times);
  }

  /** Time after which an answer is slow, ms; undefined while unknown. */
  slowAfterMs(route: string): number | undefined {
    const { sorted } = this.times.get(route) ?? {};
    if (sorted === undefined || sorted.length < MIN_TIMES) return undefined;
    const medianMs = quantileSorted(sorted, 0.5);
    const slowMs = quantileSorted(sorted, SLOW_QUANTILE);
    return Math.max(slowMs, MIN_OF_MEDIAN * medianMs, MIN_SLOW_MS);
  }
}
