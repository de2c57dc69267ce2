/** Sends the counters and latencies of this process as plain text. */
import type { ServerResponse } from "node:http";

import type { Metrics } from "../telemetry/index.js";
import { metricsText } from "../telemetry/index.js";

export const sendMetrics = (res: ServerResponse, metrics: Metrics): void => {
  res.writeHead(200, { "content-type": "text/plain; charset=utf-8" });
  res.end(metricsText(metrics));
};
