/** HTTP server for short requests without a body: health checks, metrics. */
import http from "node:http";
import type { Server, ServerResponse } from "node:http";

import type { CallerBounds } from "./callerBounds.js";

const MAX_CONNECTIONS = 64;
const MAX_PENDING = 8;
const MAX_HEADER_BYTES = 8 * 1024;
const HEADERS_TIMEOUT_MS = 5000;
const IDLE_TIMEOUT_MS = 15_000;
const CHECK_INTERVAL_MS = 1000;

/** Creates the server; the caller makes it listen. */
export const newProbeServer = (
  bounds: CallerBounds,
  name: string,
  answer: (res: ServerResponse) => void,
): Server => {
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    },
    (req, res) =>
      connections.serve(req, res, (exchange) => {
        answer(res);
        exchange.discardBody(0);
      }),
  );
  const connections = bounds.guard(server, name, {
    maxConnections: MAX_CONNECTIONS,
    maxPending: MAX_PENDING,
  });
  return server;
};
