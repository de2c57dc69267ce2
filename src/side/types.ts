/** Types of the side's request processing. */
import type http from "node:http";

import type { CallerExchange } from "../callers/index.js";
import type { Arrival } from "../admission/index.js";

/** A request in progress at the side. */
export interface SideRequest {
  id: string;
  req: http.IncomingMessage;
  res: http.ServerResponse;
  exchange: CallerExchange;
  arrival: Arrival;
  /** Hashes of the prompt's prefixes, shortest first. */
  prefixes: readonly string[];
  /**
   * Prefixes that this request added to the cache model, until the engine has
   * read its prompt.
   */
  pendingPrefixes: readonly string[];
}
