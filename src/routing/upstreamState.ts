/** An entry's state for one upstream, and the load estimated from it. */
import type { Role } from "../config/index.js";
import { HEALTHY } from "./health.js";
import type { Health } from "./health.js";
import { prefillRate } from "./loadModel.js";
import type { Capacity, UpstreamWork } from "./loadModel.js";
import type { LoadReport } from "./types.js";

const MS = 1000;
/**
 * Time constant of the decay of a load report, ms: after it the report counts
 * 1/e. Without the decay, an upstream that once reported full and got no
 * requests since would look full for ever.
 */
const REPORT_DECAY_MS = 2000;

/** The last known role: reported, else announced, else mixed. */
export const roleOf = (known: UpstreamState): Role =>
  known.report?.role ?? known.announcedRole ?? "mixed";

export interface UpstreamState {
  /** Load carried by the upstream's last reply. */
  report: LoadReport | undefined;
  reportAt: number;
  /** Uncached prompt tokens that this entry sent since the last report. */
  sentTokens: number;
  /** Requests that this entry sent since the last report. */
  sentCount: number;
  /** Requests of this entry that are in flight. */
  ownInFlight: number;
  health: Health;
  /** Time until which the side refuses new requests, ms. */
  refusedUntil: number;
  /** The role that the side announced through gossip. */
  announcedRole: Role | undefined;
  /** Its VM is leaving: no new requests until a new process announces itself. */
  isLeaving: boolean;
}

export const newUpstreamState = (): UpstreamState => ({
  report: undefined,
  reportAt: 0,
  sentTokens: 0,
  sentCount: 0,
  ownInFlight: 0,
  health: HEALTHY,
  refusedUntil: 0,
  announcedRole: undefined,
  isLeaving: false,
});

/** Estimates the current work from the aged report and this entry's own sends. */
export const expectedWork = (
  known: UpstreamState,
  capacity: Capacity,
  role: Role,
  now: number,
): UpstreamWork => {
  const age = Math.max(0, now - known.reportAt);
  const drained = (age * prefillRate(capacity, role)) / MS;
  const reported = known.report?.prefillTokens ?? 0;
  const decay = Math.exp(-age / REPORT_DECAY_MS);
  const active = (known.report?.active ?? 0) * decay + known.sentCount;
  return {
    prefillTokens: Math.max(0, reported + known.sentTokens - drained),
    active: Math.max(active, known.ownInFlight),
    queued: (known.report?.queued ?? 0) * decay,
  };
};
