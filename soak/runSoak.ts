/** Runs the soak with one seed and returns its records and violations. */
import { monotonicNow } from "../src/daemon/clock.js";
import { seededRng } from "../src/shared/rng.js";
import { probeAddedRoutes, SoakCaller } from "./callers.js";
import { findViolations } from "./checks.js";
import { FaultInjector, faultsOf } from "./faults.js";
import type { FaultProfile } from "./faults.js";
import { extraEngines, retryLimitsOf } from "./profile.js";
import { SoakFleet } from "./fleet.js";
import type { FleetSizes } from "./fleet.js";
import type { SoakRecords, StallRecord, Violation } from "./types.js";

export interface SoakOptions extends FleetSizes {
  seed: number;
  /** Duration of fault injection, s. */
  seconds: number;
  callers: number;
  profile: FaultProfile;
}

export const DEFAULT_SIZES: FleetSizes & { callers: number } = {
  entries: 3,
  schedulers: 3,
  plain: 3,
  engines: 4,
  callers: 12,
};

export interface SoakResult {
  records: SoakRecords;
  violations: Violation[];
  /** Log lines by process id. */
  logs: Map<string, readonly string[]>;
}

/** Pause between two faults, ms. */
const FAULT_PAUSE = { min: 60, max: 500 };
/** Traffic without faults after the last one, ms, to catch late effects. */
const FINAL_QUIET_MS = 1500;
const MS_PER_SECOND = 1000;
/** Interval between checks for event loop stalls, ms. */
const STALL_CHECK_MS = 20;
/** Shortest gap between two checks that is recorded as a stall, ms. */
const MIN_STALL_MS = 60;
/** Keeps the random sequences of the components distinct. */
const SEED_STRIDE = 7919;

/** Records event loop stalls until the returned function is called. */
const watchStalls = (stalls: StallRecord[]): (() => void) => {
  let from = monotonicNow();
  const check = (): void => {
    const until = monotonicNow();
    if (until - from >= MIN_STALL_MS) stalls.push({ from, until });
    from = until;
  };
  const timer = setInterval(check, STALL_CHECK_MS);
  return () => clearInterval(timer);
};

export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, seconds, profile } = options;
  const rngOf = (component: number) =>
    seededRng(seed * SEED_STRIDE + component);
  const fleet = new SoakFleet(rngOf(0), monotonicNow);
  const onSignal = () => void fleet.stop().then(() => process.exit(1));
  process.once("SIGINT", onSignal).once("SIGTERM", onSignal);
  const stopWatching = watchStalls(fleet.records.stalls);
  fleet.records.retryLimits = retryLimitsOf(profile);
  fleet.hasAllFramings = profile === "endings" || profile === "parts";
  try {
    await fleet.start({
      ...options,
      engines: options.engines + extraEngines(profile),
    });
    const endsAt = monotonicNow() + seconds * MS_PER_SECOND;
    const injector = new FaultInjector(fleet, faultsOf(profile), rngOf(1));
    let isOver = false;
    const traffic = Array.from({ length: options.callers }, (_item, at) =>
      new SoakCaller(`caller${at}`, fleet, rngOf(100 + at)).run(() => isOver),
    );
    traffic.push(probeAddedRoutes(fleet, rngOf(2), () => isOver));
    await injector.run(() => monotonicNow() > endsAt, FAULT_PAUSE);
    await new Promise((resolve) => setTimeout(resolve, FINAL_QUIET_MS));
    isOver = true;
    await Promise.all(traffic);
  } finally {
    process.off("SIGINT", onSignal).off("SIGTERM", onSignal);
    await fleet.stop();
    stopWatching();
  }
  const { records } = fleet;
  const logs = new Map(fleet.processes.map((item) => [item.id, item.logLines]));
  return { records, violations: findViolations(records), logs };
};
