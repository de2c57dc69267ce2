/** Shapes that the entry's request path shares. */
import type http from "node:http";

import type { RequestPlan } from "./requestPlan.js";

/** A caller's request with its plan. */
export interface CallerRequest {
  id: string;
  req: http.IncomingMessage;
  res: http.ServerResponse;
  plan: RequestPlan;
  /** Instant of arrival, ms of the monotonic clock. */
  arrivedAt: number;
}
