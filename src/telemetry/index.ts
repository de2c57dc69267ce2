export { createLog, LOG_LEVELS } from "./log.js";
export type { Log, LogFields, LogLevel } from "./log.js";
export { StatsdMetrics } from "./metrics.js";
export type { LatencyRow, Metrics } from "./metrics.js";
export { LineWriter } from "./lineWriter.js";
export { metricsText } from "./metricsText.js";
