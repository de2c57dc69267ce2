/** Serves the counters and latencies of this process as plain text. */
import http from "node:http";
import type { Server } from "node:http";

import type { Metrics } from "../telemetry/index.js";
import { metricsText } from "../telemetry/index.js";

/** Creates the server; the caller makes it listen. */
export const newMetricsServer = (metrics: Metrics): Server =>
  http.createServer((_req, res) => {
    res.writeHead(200, { "content-type": "text/plain; charset=utf-8" });
    res.end(metricsText(metrics));
  });
