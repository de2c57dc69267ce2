/** What one entry knows of one upstream, and the work it expects there. */
import type { Role } from "../config/index.js";
import { HEALTHY } from "./health.js";
import type { Health } from "./health.js";
import { prefillRate } from "./loadModel.js";
import type { Capacity, UpstreamWork } from "./loadModel.js";
import type { LoadReport } from "./types.js";

const MS = 1000;
/** Old news counts less and less, or an upstream that was full once and is
 * asked no more would look full for ever; ms to a third. */
const REPORT_DECAY_MS = 2000;

/** The role by the newest news; mixed where there is none. */
export const roleOf = (known: UpstreamState): Role =>
  known.report?.role ?? known.announcedRole ?? "mixed";

export interface UpstreamState {
  report: LoadReport | undefined;
  reportAt: number;
  /** This entry's sends since the last report: prompt tokens. */
  sentTokens: number;
  sentCount: number;
  ownInFlight: number;
  health: Health;
  /** Instant until which it said to stay away, ms. */
  refusedUntil: number;
  /** The role that its side told its peers. */
  announcedRole: Role | undefined;
  /** Its VM is leaving: no new work until it comes back as a new process. */
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

/** The reported work, aged, with what this entry has sent since. */
export const expectedWork = (
  known: UpstreamState,
  capacity: Capacity,
  role: Role,
  now: number,
): UpstreamWork => {
  const age = Math.max(0, now - known.reportAt);
  const drained = (age * prefillRate(capacity, role)) / MS;
  const reported = known.report?.prefillTokens ?? 0;
  const faded = Math.exp(-age / REPORT_DECAY_MS);
  const active = (known.report?.active ?? 0) * faded + known.sentCount;
  return {
    prefillTokens: Math.max(0, reported + known.sentTokens - drained),
    active: Math.max(active, known.ownInFlight),
    queued: (known.report?.queued ?? 0) * faded,
  };
};
