/**
 * Counters and latency histograms. They are sent to StatsD via hot-shots if an
 * address is set, and kept in memory so that operators can read them without a
 * StatsD server. The number of histograms per workspace is limited: the busiest
 * workspaces have their own, all others share one.
 */
import { StatsD } from "hot-shots";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { LRUCache } from "lru-cache";

/** Maximum workspaces with their own histogram. */
const MAX_WORKSPACES = 64;
/** Maximum other workspaces whose requests are counted, to find the busiest. */
const MAX_UNNAMED_WORKSPACES = 1024;
/** Requests of a workspace between two checks for a replacement. */
const EVICTION_CHECK_INTERVAL = 16;
const OTHER_WORKSPACE = "other";
const MAX_LATENCY_MS = 600_000;
const PERCENTILES = [50, 95, 99] as const;

/** Latency percentiles of one class or workspace, ms. */
export interface LatencyRow {
  name: string;
  count: number;
  p50: number;
  p95: number;
  p99: number;
}

/** Metrics interface. */
export interface Metrics {
  count(name: string, tags: Record<string, string>): void;
  /** Records the time from arrival to the end of the answer, ms. */
  latency(className: string, workspace: string, durationMs: number): void;
  counters(): Record<string, number>;
  latencyRows(): LatencyRow[];
}

const newHistogram = (): Histogram =>
  build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
  });

const toRow = (name: string, histogram: Histogram): LatencyRow => {
  const [p50, p95, p99] = PERCENTILES.map((percent) =>
    histogram.getValueAtPercentile(percent),
  ) as [number, number, number];
  return { name, count: histogram.totalCount, p50, p95, p99 };
};

/** Sends metrics to StatsD and keeps them in bounded memory. */
export class StatsdMetrics implements Metrics {
  private readonly client: StatsD | undefined;
  private readonly counts = new Map<string, number>();
  private readonly byClass = new Map<string, Histogram>();
  private readonly other = newHistogram();
  private readonly byWorkspace = new Map<string, Histogram>();
  /** Request counts of workspaces without their own histogram. */
  private readonly unnamedCounts = new LRUCache<string, number>({
    max: MAX_UNNAMED_WORKSPACES,
  });

  constructor(address: { host: string; port: number } | undefined) {
    if (address === undefined) return;
    this.client = new StatsD({
      host: address.host,
      port: address.port,
      prefix: "snowgate.",
      errorHandler: () => undefined,
    });
  }

  count(name: string, tags: Record<string, string>): void {
    const key = [name, ...Object.values(tags)].join(".");
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    this.client?.increment(name, 1, tags);
  }

  latency(className: string, workspace: string, durationMs: number): void {
    const value = Math.max(1, Math.round(durationMs));
    this.classHistogram(className).recordValue(value);
    this.workspaceHistogram(workspace).recordValue(value);
    this.client?.histogram("latency_ms", value, { class: className });
  }

  counters(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }

  latencyRows(): LatencyRow[] {
    const rows = [...this.byClass].map(([name, histogram]) =>
      toRow(`class ${name}`, histogram),
    );
    for (const [name, histogram] of this.byWorkspace.entries()) {
      rows.push(toRow(`workspace ${name}`, histogram));
    }
    if (this.other.totalCount > 0) {
      rows.push(toRow(`workspace ${OTHER_WORKSPACE}`, this.other));
    }
    return rows;
  }

  private classHistogram(name: string): Histogram {
    const known = this.byClass.get(name);
    if (known !== undefined) return known;
    const fresh = newHistogram();
    this.byClass.set(name, fresh);
    return fresh;
  }

  private workspaceHistogram(name: string): Histogram {
    const known = this.byWorkspace.get(name);
    if (known !== undefined) return known;
    if (
      this.byWorkspace.size >= MAX_WORKSPACES &&
      !this.tryReplaceLeastBusy(name)
    ) {
      return this.other;
    }
    const fresh = newHistogram();
    this.byWorkspace.set(name, fresh);
    return fresh;
  }

  /**
   * Frees the histogram of the least busy workspace if `name` is busier; its
   * values go to the shared histogram. Returns whether one was freed.
   */
  private tryReplaceLeastBusy(name: string): boolean {
    const count = (this.unnamedCounts.get(name) ?? 0) + 1;
    this.unnamedCounts.set(name, count);
    // Finding the least busy workspace scans all of them, so check rarely.
    if (count % EVICTION_CHECK_INTERVAL !== 0) return false;
    const named = [...this.byWorkspace];
    const least = named.reduce((a, b) =>
      b[1].totalCount < a[1].totalCount ? b : a,
    );
    if (least[1].totalCount >= count) return false;
    this.other.add(least[1]);
    this.byWorkspace.delete(least[0]);
    this.unnamedCounts.set(least[0], least[1].totalCount);
    this.unnamedCounts.delete(name);
    return true;
  }
}
