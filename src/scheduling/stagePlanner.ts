/**
 * Plans how many engines of a service serve prefill and how many serve decode.
 * Pure. The mix of work shifts within seconds, and a stage change makes an
 * engine unavailable for about as long, so engines have to be ready before they
 * are needed. Spare engines are therefore divided in proportion to the needs.
 */
import type { Stage } from "./types.js";

/** State of one engine as input for the planner. */
export interface PlannedEngine {
  id: string;
  stage: Stage;
  runs: number;
  runTokens: number;
  slots: number;
  kvCapacityTokens: number;
  /** Target stage while a change is in progress. */
  changingTo: Stage | undefined;
  /** Undefined if not known. */
  softwareVersion?: string;
}

export interface StagePlanInput {
  engines: readonly PlannedEngine[];
  /** Prefill demand, in engines fully occupied by prefill; smoothed. */
  prefillDemand: number;
  /**
   * Prefill demand on decode engines, in engines fully occupied by it;
   * smoothed.
   */
  decodePrefillDemand: number;
  /** Recent peaks of concurrent runs and of their tokens. */
  peakRuns: number;
  peakRunTokens: number;
  /** Time since the last change to each stage, ms. */
  sinceChangeToPrefillMs: number;
  sinceChangeToDecodeMs: number;
}

export interface StageChange {
  id: string;
  to: Stage;
  why: string;
}

/** Target share of the slots and memory of decode engines that runs use. */
const TARGET_RUN_USAGE = 0.75;
/** Target share of a prefill engine's time spent on prefill. */
const TARGET_PREFILL_USAGE = 0.85;
/** Target share of a decode engine's time spent on prefill. */
const TARGET_DECODE_PREFILL_USAGE = 0.4;
/**
 * Minimum share of all engines in each stage. After a loss of engines, the rest
 * of a stage must still carry the load when the mix has just shifted.
 */
const MIN_STAGE_SHARE = 0.3;
/** Maximum share of all engines with a change in progress. */
const MAX_CHANGING_SHARE = 0.5;
/**
 * Minimum time between a change and one in the opposite direction, ms. A change
 * makes an engine unavailable for about three seconds, and the mix swings as
 * quickly, so following every swing costs more than it gains.
 */
const MIN_DWELL_MS = 8000;
/**
 * Minimum deviation from the target split, as a share of all engines, that
 * causes a change while both stages have enough engines.
 */
const MIN_IMBALANCE_SHARE = 0.1;
/**
 * Need added to the measured needs, half to each stage, as a share of all
 * engines. Before any measurement an even split carries the most, and the first
 * requests of one kind say nothing about the demand for the other.
 */
const BASELINE_SHARE = 0.1;
/** Engines of one version from which on one of them decodes. */
const MIN_ENGINES_FOR_DECODE = 2;
/** Share of prefill engines while the mix is unknown. */
const DEFAULT_PREFILL_SHARE = 0.5;
/** Total need, as a share of all engines, below which the mix is unknown. */
const MIN_KNOWN_SHARE = 0.1;

const plannedStage = ({ changingTo, stage }: PlannedEngine): Stage =>
  changingTo ?? stage;

const countOf = (engines: readonly PlannedEngine[], stage: Stage): number =>
  engines.filter((item) => plannedStage(item) === stage).length;

/** Engines by the software version that they run. */
const byVersion = (engines: readonly PlannedEngine[]): PlannedEngine[][] => {
  const versions = new Map<string | undefined, PlannedEngine[]>();
  for (const item of engines) {
    const others = versions.get(item.softwareVersion) ?? [];
    versions.set(item.softwareVersion, [...others, item]);
  }
  return [...versions.values()];
};

/**
 * A stream goes on only at the version that began it, so each version keeps a
 * decode engine while it has engines to spare for one.
 */
const planMissingDecode = (
  engines: readonly PlannedEngine[],
): StageChange | undefined => {
  const versions = byVersion(engines);
  if (versions.length < 2) return undefined;
  const missing = versions.find(
    (ofVersion) =>
      ofVersion.length >= MIN_ENGINES_FOR_DECODE &&
      countOf(ofVersion, "decode") === 0,
  );
  const why = `no decode engine of version ${missing?.[0]?.softwareVersion}`;
  return missing && changeLeastLoaded(missing, "decode", why);
};

/**
 * Decode engines that may be ordered to prefill, so that each version keeps one:
 * where there are no others, those that are the only engine of their version.
 */
const spareDecode = (engines: readonly PlannedEngine[]): PlannedEngine[] => {
  const versions = byVersion(engines);
  const spare = versions.filter(
    (ofVersion) => countOf(ofVersion, "decode") > 1,
  );
  const single = versions.filter(
    (ofVersion) => ofVersion.length < MIN_ENGINES_FOR_DECODE,
  );
  return (spare.length > 0 ? spare : single).flat();
};

/** Number of engines that each stage needs now; may be fractional. */
interface Needs {
  prefill: number;
  decode: number;
}

const needsOf = (input: StagePlanInput): Needs => {
  const { engines, peakRuns, peakRunTokens } = input;
  const [first] = engines;
  if (first === undefined) return { prefill: 0, decode: 0 };
  const bySlots = peakRuns / (first.slots * TARGET_RUN_USAGE);
  const byMemory = peakRunTokens / (first.kvCapacityTokens * TARGET_RUN_USAGE);
  const byPrefill = input.decodePrefillDemand / TARGET_DECODE_PREFILL_USAGE;
  return {
    prefill: input.prefillDemand / TARGET_PREFILL_USAGE,
    decode: Math.max(bySlots, byMemory, byPrefill),
  };
};

/**
 * Target number of prefill engines. Both stages get the same multiple of their
 * need, so that each can absorb an equally large burst or loss of engines.
 */
const prefillTarget = ({ prefill, decode }: Needs, all: number): number => {
  const minPerStage = Math.max(1, Math.ceil(all * MIN_STAGE_SHARE));
  const isKnown = prefill + decode >= all * MIN_KNOWN_SHARE;
  const baseline = all * BASELINE_SHARE;
  const share = isKnown
    ? (prefill + baseline / 2) / (prefill + decode + baseline)
    : DEFAULT_PREFILL_SHARE;
  return Math.min(
    all - minPerStage,
    Math.max(minPerStage, Math.round(all * share)),
  );
};

/** Plans at most one stage change; undefined if none is due. */
export const planStages = (input: StagePlanInput): StageChange | undefined => {
  const { engines } = input;
  const all = engines.length;
  const needs = needsOf(input);
  const changing = engines.filter((item) => item.changingTo !== undefined);
  const maxChanging = Math.max(1, Math.floor(all * MAX_CHANGING_SHARE));
  if (changing.length >= maxChanging) return undefined;
  const missingDecode = planMissingDecode(engines);
  if (missingDecode !== undefined) return missingDecode;
  const prefill = countOf(engines, "prefill");
  const decode = countOf(engines, "decode");
  const target = prefillTarget(needs, all);
  const why =
    `reading needs ${needs.prefill.toFixed(1)} of ${prefill}, ` +
    `runs need ${needs.decode.toFixed(1)} of ${decode}, ` +
    `${target} should read`;
  const minImbalance = Math.max(1, Math.ceil(all * MIN_IMBALANCE_SHARE));
  const hasSpare = {
    prefill: prefill - 1 >= needs.prefill,
    decode: decode - 1 >= needs.decode,
  };
  const lacksPrefill = needs.prefill > prefill;
  const lacksDecode = needs.decode > decode;
  if (target - prefill >= (lacksPrefill ? 1 : minImbalance)) {
    const isTooSoon = input.sinceChangeToDecodeMs < MIN_DWELL_MS;
    if (isTooSoon || !hasSpare.decode) return undefined;
    return changeLeastLoaded(spareDecode(engines), "prefill", why);
  }
  if (prefill - target >= (lacksDecode ? 1 : minImbalance)) {
    const isTooSoon = input.sinceChangeToPrefillMs < MIN_DWELL_MS;
    if (isTooSoon || !hasSpare.prefill) return undefined;
    return changeLeastLoaded(engines, "decode", why);
  }
  return undefined;
};

/** Changes the engine with the fewest tokens in its runs. */
const changeLeastLoaded = (
  engines: readonly PlannedEngine[],
  to: Stage,
  why: string,
): StageChange | undefined => {
  const leastLoaded = engines
    .filter((item) => item.stage !== to && item.changingTo === undefined)
    .sort((a, b) => a.runTokens - b.runTokens)[0];
  return leastLoaded && { id: leastLoaded.id, to, why };
};
