/** Shapes of the side's request path. */
import type http from "node:http";

import type { Arrival } from "../admission/index.js";

/** One request at the side, between its head and its last byte. */
export interface SideRequest {
  id: string;
  req: http.IncomingMessage;
  res: http.ServerResponse;
  arrival: Arrival;
  /** Hashes of the prompt's growing prefixes. */
  prefixes: readonly string[];
  /** Prefixes that count as cached by it, until its prompt is read. */
  pendingPrefixes: readonly string[];
}
