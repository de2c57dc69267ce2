import type { View } from "../types.js";

/** Latency percentiles by class and by workspace at this entry, ms. */
export const viewLatency: View = {
  name: "latency",
  columns: ["name", "count", "p50", "p95", "p99"],
  rows: async (ctx) => ctx.metrics.latencyRows().map((row) => ({ ...row })),
};
