/** What the processes that face the platform are composed of. */
import type { Rng } from "../shared/rng.js";
import type { ObjectFeed } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { DutyPort } from "../workspaces/index.js";
import type { GatewaySource } from "./gatewayState.js";
import type { RequestCodec } from "./requestCodec.js";

/** Ports and helpers that a process is given besides its settings. */
export interface GatewayParts {
  codec: RequestCodec;
  source: GatewaySource;
  feed: ObjectFeed;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
  /** Counts suspensions of the machine besides: for what others rely on, ms. */
  leaseNow: () => number;
  /** Time of day, ms since 1970; may step. */
  wallNow: () => number;
  /** Duties of the fleet; undefined where the platform asks for none. */
  duties?: DutyPort;
}
