/** What the processes that face the platform are composed of. */
import type { Rng } from "../shared/rng.js";
import type { ObjectFeed } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { GatewaySource } from "./gatewayState.js";
import type { RequestForm } from "./requestForm.js";

/** Ports and helpers that a process is given besides its settings. */
export interface GatewayParts {
  form: RequestForm;
  source: GatewaySource;
  feed: ObjectFeed;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
}
