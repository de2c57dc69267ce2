/** Types shared by the modules that process callers' requests. */
import type http from "node:http";

import type { CallerExchange } from "../callers/index.js";
import type { RequestPlan } from "./requestPlan.js";

/** A request from a caller, its response object and its plan. */
export interface CallerRequest {
  id: string;
  req: http.IncomingMessage;
  res: http.ServerResponse;
  exchange: CallerExchange;
  plan: RequestPlan;
  /** Arrival time, ms of the monotonic clock. */
  arrivedAt: number;
}
