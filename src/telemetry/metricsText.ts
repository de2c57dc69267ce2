/** Formats metrics as text lines: name, labels in braces, value. */
import type { Metrics } from "./metrics.js";

const label = (text: string): string => JSON.stringify(text);

export const metricsText = (metrics: Metrics): string => {
  const lines: string[] = [];
  for (const [name, value] of Object.entries(metrics.counters())) {
    lines.push(`snowgate_count{name=${label(name)}} ${value}`);
  }
  for (const { name, count, p50, p95, p99 } of metrics.latencyRows()) {
    const of = `of=${label(name)}`;
    lines.push(`snowgate_latency_ms_count{${of}} ${count}`);
    lines.push(`snowgate_latency_ms{${of},quantile="0.5"} ${p50}`);
    lines.push(`snowgate_latency_ms{${of},quantile="0.95"} ${p95}`);
    lines.push(`snowgate_latency_ms{${of},quantile="0.99"} ${p99}`);
  }
  return `${lines.join("\n")}\n`;
};
