/** Dependencies of the entry and scheduler processes that use the platform. */
import type { Rng } from "../shared/rng.js";
import type { ObjectFeed } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { DutyPort } from "../workspaces/index.js";
import type { GatewaySource } from "./gatewayState.js";
import type { RequestCodec } from "./requestCodec.js";

/** Ports, clocks and helpers that a process gets in addition to its settings. */
export interface GatewayDependencies {
  codec: RequestCodec;
  source: GatewaySource;
  feed: ObjectFeed;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
  /** Clock that also counts VM suspensions, for leases and proofs, ms. */
  leaseNow: () => number;
  /** Wall clock, ms since 1970; may jump. */
  wallNow: () => number;
  /** Port for fleet duties (usage reports); undefined if none are required. */
  duties?: DutyPort;
}
