/**
 * How many engines of a service should read prompts and how many make
 * tokens. Pure. Engines that make tokens are counted first: they must hold
 * the runs that are there, with room; all others may read. A change is made
 * only where reading or runs lack an engine now, and costs the engine a few
 * seconds.
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

export interface StageQuestion {
  engines: readonly PlannedEngine[];
  /** Reading asked for, in engines that do nothing else; smoothed. */
  readDemand: number;
  /** Reading by engines that make tokens, in such engines; smoothed. */
  restDemand: number;
  /** Most runs, and tokens of runs, at once over the last seconds. */
  peakRuns: number;
  peakRunTokens: number;
  /** Since the last change the other way, ms. */
  sinceToPrefillMs: number;
  sinceToDecodeMs: number;
}

export interface StageChange {
  id: string;
  to: Stage;
  why: string;
}

/** Part of the slots and memory of decode engines that runs should take. */
const RUN_FILL = 0.75;
/** Part of an engine's time that reading should take. */
const READ_FILL = 0.85;
/** Part of the time of engines that make tokens that reading should take. */
const REST_FILL = 0.4;
/** Engines of each stage at least, share of all. */
const LEAST_SHARE = 0.2;
/** Changes under way at once, share of all engines. */
const CHANGING_SHARE = 0.5;
/** No change back sooner than this after a change, ms. */
const DWELL_MS = 4000;

const countOf = (engines: readonly PlannedEngine[], stage: Stage): number =>
  engines.filter((item) => (item.changingTo ?? item.stage) === stage).length;

/** Decode engines that the runs need. */
const decodeNeed = (question: StageQuestion): number => {
  const { engines, peakRuns, peakRunTokens } = question;
  const [first] = engines;
  if (first === undefined) return 0;
  const bySlots = peakRuns / (first.slots * RUN_FILL);
  const byMemory = peakRunTokens / (first.kvCapacityTokens * RUN_FILL);
  const byReading = question.restDemand / REST_FILL;
  return Math.ceil(Math.max(bySlots, byMemory, byReading));
};

/** At most one change. */
export const planStages = (
  question: StageQuestion,
): StageChange | undefined => {
  const { engines, readDemand } = question;
  const changing = engines.filter((item) => item.changingTo !== undefined);
  const mostChanging = Math.max(1, Math.floor(engines.length * CHANGING_SHARE));
  if (changing.length >= mostChanging) return undefined;
  const least = Math.max(1, Math.ceil(engines.length * LEAST_SHARE));
  const prefill = countOf(engines, "prefill");
  const decode = countOf(engines, "decode");
  const needDecode = Math.max(least, decodeNeed(question));
  const needPrefill = Math.max(least, readDemand / READ_FILL);
  const isStill = (id: string) => !changing.some((item) => item.id === id);
  const numbers =
    `reading needs ${needPrefill.toFixed(1)} of ${prefill}, ` +
    `runs need ${needDecode} of ${decode}`;
  if (needPrefill > prefill && decode > needDecode) {
    if (question.sinceToDecodeMs < DWELL_MS) return undefined;
    const idlest = engines
      .filter((item) => item.stage === "decode" && isStill(item.id))
      .sort((a, b) => a.runTokens - b.runTokens)[0];
    return idlest && { id: idlest.id, to: "prefill", why: numbers };
  }
  if (needDecode > decode && prefill > needPrefill) {
    if (question.sinceToPrefillMs < DWELL_MS) return undefined;
    const idlest = engines.find(
      (item) => item.stage === "prefill" && isStill(item.id),
    );
    return idlest && { id: idlest.id, to: "decode", why: numbers };
  }
  return undefined;
};
