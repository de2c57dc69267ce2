/**
 * How many engines of a service should read prompts and how many make
 * tokens. Pure. The mix turns within seconds, and a change takes an engine
 * away for about as long, so that engines have to stand ready before they are
 * needed: what no stage needs now is divided in proportion to the needs.
 */
import type { Stage } from "./types.js";

/** One engine as the planner sees it. */
export interface PlannedEngine {
  id: string;
  stage: Stage;
  runs: number;
  runTokens: number;
  slots: number;
  kvCapacityTokens: number;
  /** Set while a change to that stage is under way. */
  changingTo: Stage | undefined;
}

export interface StagePlanInput {
  engines: readonly PlannedEngine[];
  /** Reading asked for, in engines that do nothing else; smoothed. */
  prefillDemand: number;
  /** Reading by engines that make tokens, in such engines; smoothed. */
  decodePrefillDemand: number;
  /** Most runs, and tokens of runs, at once over the last seconds. */
  peakRuns: number;
  peakRunTokens: number;
  /** Since the last change the other way, ms. */
  sinceChangeToPrefillMs: number;
  sinceChangeToDecodeMs: number;
}

export interface StageChange {
  id: string;
  to: Stage;
  why: string;
}

/** Part of the slots and memory of decode engines that runs should take. */
const TARGET_RUN_USAGE = 0.75;
/** Part of an engine's time that reading should take. */
const TARGET_PREFILL_USAGE = 0.85;
/** Part of the time of engines that make tokens that reading should take. */
const TARGET_DECODE_PREFILL_USAGE = 0.4;
/**
 * Engines of each stage at least, share of all: what is left of a stage after
 * a loss must bear a mix that has just turned.
 */
const MIN_STAGE_SHARE = 0.3;
/** Changes under way at once, share of all engines. */
const MAX_CHANGING_SHARE = 0.5;
/**
 * No change back sooner than this after a change, ms. A change takes an
 * engine away for some three seconds, and mixes swing as quickly: following
 * each swing costs more than it gives.
 */
const MIN_DWELL_MS = 8000;
/** Engines by which a split must be off before nothing lacks, share of all. */
const MIN_IMBALANCE_SHARE = 0.1;
/**
 * Engines, share of all, that both stages together count as needing besides
 * what was seen, half each. Until anything was seen, half of the engines of
 * each stage bear the most; the first requests of one kind say nothing of
 * the other.
 */
const BASELINE_SHARE = 0.1;
/** Readers, share of all, while nothing is known of the mix. */
const DEFAULT_PREFILL_SHARE = 0.5;
/** Needs below this, share of all engines, say nothing of the mix. */
const MIN_KNOWN_SHARE = 0.1;

const countOf = (engines: readonly PlannedEngine[], stage: Stage): number =>
  engines.filter((item) => (item.changingTo ?? item.stage) === stage).length;

/** Engines that each stage needs now; fractions where that is so. */
interface Needs {
  prefill: number;
  decode: number;
}

const needsOf = (question: StagePlanInput): Needs => {
  const { engines, peakRuns, peakRunTokens } = question;
  const [first] = engines;
  if (first === undefined) return { prefill: 0, decode: 0 };
  const bySlots = peakRuns / (first.slots * TARGET_RUN_USAGE);
  const byMemory = peakRunTokens / (first.kvCapacityTokens * TARGET_RUN_USAGE);
  const byReading = question.decodePrefillDemand / TARGET_DECODE_PREFILL_USAGE;
  return {
    prefill: question.prefillDemand / TARGET_PREFILL_USAGE,
    decode: Math.max(bySlots, byMemory, byReading),
  };
};

/**
 * Engines that should read: both stages get the same multiple of their need,
 * so that either can bear as large a burst, or the loss of as many engines.
 */
const prefillTarget = ({ prefill, decode }: Needs, all: number): number => {
  const least = Math.max(1, Math.ceil(all * MIN_STAGE_SHARE));
  const isKnown = prefill + decode >= all * MIN_KNOWN_SHARE;
  const unseen = all * BASELINE_SHARE;
  const share = isKnown
    ? (prefill + unseen / 2) / (prefill + decode + unseen)
    : DEFAULT_PREFILL_SHARE;
  return Math.min(all - least, Math.max(least, Math.round(all * share)));
};

/** At most one change. */
export const planStages = (
  question: StagePlanInput,
): StageChange | undefined => {
  const { engines } = question;
  const all = engines.length;
  const needs = needsOf(question);
  const changing = engines.filter((item) => item.changingTo !== undefined);
  const mostChanging = Math.max(1, Math.floor(all * MAX_CHANGING_SHARE));
  if (changing.length >= mostChanging) return undefined;
  const prefill = countOf(engines, "prefill");
  const decode = countOf(engines, "decode");
  const target = prefillTarget(needs, all);
  const why =
    `reading needs ${needs.prefill.toFixed(1)} of ${prefill}, ` +
    `runs need ${needs.decode.toFixed(1)} of ${decode}, ` +
    `${target} should read`;
  const minImbalance = Math.max(1, Math.ceil(all * MIN_IMBALANCE_SHARE));
  const isSpare = {
    prefill: prefill - 1 >= needs.prefill,
    decode: decode - 1 >= needs.decode,
  };
  const lacksPrefill = needs.prefill > prefill;
  const lacksDecode = needs.decode > decode;
  if (target - prefill >= (lacksPrefill ? 1 : minImbalance)) {
    const isSoon = question.sinceChangeToDecodeMs < MIN_DWELL_MS;
    if (isSoon || !isSpare.decode) return undefined;
    return changeLeastLoaded(engines, "prefill", why);
  }
  if (prefill - target >= (lacksDecode ? 1 : minImbalance)) {
    const isSoon = question.sinceChangeToPrefillMs < MIN_DWELL_MS;
    if (isSoon || !isSpare.prefill) return undefined;
    return changeLeastLoaded(engines, "decode", why);
  }
  return undefined;
};

/** The engine with the least to finish changes. */
const changeLeastLoaded = (
  engines: readonly PlannedEngine[],
  to: Stage,
  why: string,
): StageChange | undefined => {
  const idlest = engines
    .filter((item) => item.stage !== to && item.changingTo === undefined)
    .sort((a, b) => a.runTokens - b.runTokens)[0];
  return idlest && { id: idlest.id, to, why };
};
