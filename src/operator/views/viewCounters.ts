import type { View } from "../types.js";

/** Counters of this entry since it started. */
export const viewCounters: View = {
  name: "counters",
  columns: ["counter", "value"],
  rows: async (ctx) => {
    const counters = Object.entries(ctx.metrics.counters());
    const all: [string, number][] = [
      ...counters,
      ["object_api_calls", ctx.store.calls],
    ];
    return all.map(([counter, value]) => ({ counter, value }));
  },
};
