/**
 * Counters and latency histograms. Each goes to StatsD by hot-shots where an
 * address is set, and is kept here so that an operator can read it without a
 * StatsD server. Histograms by workspace are bounded in number: the busiest
 * have one by name, all the rest share one.
 */
import { StatsD } from "hot-shots";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { LRUCache } from "lru-cache";

const MAX_WORKSPACES = 64;
/** Further workspaces that are counted, to find the busiest. */
const MAX_UNNAMED_WORKSPACES = 1024;
const EVICTION_CHECK_INTERVAL = 16;
const OTHER_WORKSPACE = "other";
const MAX_LATENCY_MS = 600_000;
const PERCENTILES = [50, 95, 99] as const;

/** Latency of one class or workspace, in ms. */
export interface LatencyRow {
  name: string;
  count: number;
  p50: number;
  p95: number;
  p99: number;
}

/** What the rest of the system uses to measure. */
export interface Metrics {
  count(name: string, tags: Record<string, string>): void;
  /** Time from arrival to the end of the answer, ms. */
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

/** The one implementation: StatsD plus bounded memory. */
export class StatsdMetrics implements Metrics {
  private readonly client: StatsD | undefined;
  private readonly counts = new Map<string, number>();
  private readonly byClass = new Map<string, Histogram>();
  private readonly other = newHistogram();
  private readonly byWorkspace = new Map<string, Histogram>();
  /** Requests of workspaces without a histogram of their own. */
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

  /** A workspace that is busier than the least busy one takes its place. */
  private tryReplaceLeastBusy(name: string): boolean {
    const count = (this.unnamedCounts.get(name) ?? 0) + 1;
    this.unnamedCounts.set(name, count);
    // Looking for the least busy one costs: only now and then.
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
