/**
 * Tracks whether the large requests of a route are served about as often as
 * the others. In a burst, long prompts rarely meet the latency objective, so
 * without this check they would hardly be served at all. Pure.
 */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

/** Size percentiles at which the "large" and "largest" groups start. */
const LARGE_PERCENTILE = 70;
const LARGEST_PERCENTILE = 90;
/**
 * A group is underserved if its served share is below this fraction of the
 * route's.
 */
const UNDERSERVED_RATIO = 0.7;
/** Number of requests after which the bounds of the groups are updated. */
const BOUNDS_INTERVAL = 20;
/** Recorded sizes needed before requests are grouped. */
const MIN_SIZES = 40;
/** Counts are halved when a route reaches this number of requests. */
const MAX_COUNTED_REQUESTS = 1500;
const MAX_ROUTES = 256;

export type SizeGroup = "largest" | "large" | "rest";

interface Count {
  requested: number;
  served: number;
}

const newCount = (): Count => ({ requested: 0, served: 0 });

class RouteSizes {
  private readonly sizes: Histogram = build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_000_000,
    numberOfSignificantValueDigits: 2,
  });
  /** Smallest sizes of the groups. */
  private largestFrom = Infinity;
  private largeFrom = Infinity;
  private readonly all = newCount();
  private readonly groups: Record<SizeGroup, Count> = {
    largest: newCount(),
    large: newCount(),
    rest: newCount(),
  };

  groupOf(size: number): SizeGroup {
    if (this.sizes.totalCount < MIN_SIZES) return "rest";
    if (size >= this.largestFrom) return "largest";
    return size >= this.largeFrom ? "large" : "rest";
  }

  /**
   * Percentiles are expensive to look up and change slowly, so bounds are
   * cached.
   */
  private record(size: number): void {
    const { sizes } = this;
    sizes.recordValue(Math.max(1, Math.round(size)));
    if (sizes.totalCount % BOUNDS_INTERVAL !== 0) return;
    this.largestFrom = sizes.getValueAtPercentile(LARGEST_PERCENTILE);
    this.largeFrom = sizes.getValueAtPercentile(LARGE_PERCENTILE);
  }

  isUnderserved(group: SizeGroup): boolean {
    const { requested, served } = this.groups[group];
    if (group === "rest" || requested === 0 || this.all.requested === 0)
      return false;
    const share = this.all.served / this.all.requested;
    return served / requested < share * UNDERSERVED_RATIO;
  }

  revertServed(size: number): void {
    const group = this.groups[this.groupOf(size)];
    for (const count of [this.all, group]) {
      count.served = Math.max(0, count.served - 1);
    }
  }

  count(size: number, isServed: boolean): void {
    const group = this.groups[this.groupOf(size)];
    for (const count of [this.all, group]) {
      count.requested += 1;
      if (isServed) count.served += 1;
    }
    this.record(size);
    if (this.all.requested < MAX_COUNTED_REQUESTS) return;
    for (const count of [this.all, ...Object.values(this.groups)]) {
      count.requested /= 2;
      count.served /= 2;
    }
  }
}

export class SizeFairness {
  private readonly routes = new Map<string, RouteSizes>();

  /**
   * Whether requests of this size are served less often than their route
   * overall.
   */
  isUnderserved(route: string, size: number): boolean {
    const sizes = this.routes.get(route);
    return sizes !== undefined && sizes.isUnderserved(sizes.groupOf(size));
  }

  /** Reverts the served count of a request that was not served after all. */
  revertServed(route: string, size: number): void {
    this.routes.get(route)?.revertServed(size);
  }

  /** Counts one request and whether it was served. */
  count(route: string, size: number, isServed: boolean): void {
    const known = this.routes.get(route);
    if (known !== undefined) return known.count(size, isServed);
    if (this.routes.size >= MAX_ROUTES) return;
    const fresh = new RouteSizes();
    this.routes.set(route, fresh);
    fresh.count(size, isServed);
  }
}
