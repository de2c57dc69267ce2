/** Shapes of the side's request path. */
import type http from "node:http";

import type { Urgency } from "../config/index.js";
import type { Arrival } from "../admission/index.js";

/** One request at the side, between its head and its last byte. */
export interface SideRequest {
  id: string;
  req: http.IncomingMessage;
  res: http.ServerResponse;
  arrival: Arrival;
  urgency: Urgency;
  /** Set once bytes may have reached the upstream. */
  isSent: boolean;
}
