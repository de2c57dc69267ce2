/** Chooses the engine that decodes a request. Pure. */
import type { AnswerLength } from "./engineRuns.js";
import type { EngineState } from "./engineState.js";
import { LONG_OUTPUT_TOKENS } from "./runTimeEstimator.js";
import type { PlacementRequest } from "./types.js";

/**
 * Most runs that an engine is given beyond its slots, as a multiple of them.
 * Engines queue twice their slots and refuse more.
 */
const MAX_SURPLUS = 2;
/**
 * Share of slots or memory up to which engines are packed. Beyond it, each
 * step takes so much longer that the longest streams miss their deadline.
 */
const PACK_LOAD = 0.6;
/** Cost of a certain deadline miss; a full engine costs 1. */
const MISS_WEIGHT = 2;
/** Load added for engines in another failure domain, as a share of slots. */
const CROSS_DOMAIN_COST = 0.02;
/** Share of the KV memory that running requests may take. */
const RUN_MEMORY_SHARE = 0.92;
/** Prefill backlog that costs as much as a full engine, ms. */
const FULL_BACKLOG_MS = 1000;

/** A run to be assigned to an engine. */
export interface PlannedRun {
  request: PlacementRequest;
  /** Number of schedulers that place on these engines independently. */
  schedulerCount: number;
  length: AnswerLength;
  /** Time until the run needs its slot, ms. */
  startsInMs: number;
  /** Time for which it holds the slot, ms; Infinity for long answers. */
  slotMs: number;
}

/**
 * Chooses the decode engine with the lowest cost; undefined if all are full.
 */
export const chooseRunner = (
  run: PlannedRun,
  available: readonly EngineState[],
  now: number,
): EngineState | undefined => {
  let best: { engine: EngineState; cost: number } | undefined;
  for (const engine of available) {
    const load = loadWith(run, engine, now);
    if (load === undefined) continue;
    const cost = costOf(run, engine, load, now);
    if (best === undefined || cost < best.cost) best = { engine, cost };
  }
  return best?.engine;
};

/**
 * False if some engines have capacity, but a long run would add more than one
 * expected deadline miss on each of them, its own included.
 */
export const isAdmissible = (
  run: PlannedRun,
  available: readonly EngineState[],
  now: number,
): boolean => {
  const { request, length } = run;
  if (request.outputTokens < LONG_OUTPUT_TOKENS) return true;
  const tokens = request.promptTokens + request.outputTokens;
  const withCapacity = available.filter((engine) =>
    hasCapacity(run, engine, now),
  );
  return (
    withCapacity.length === 0 ||
    withCapacity.some((engine) => {
      const misses = engine.runs.estimateMisses(tokens, length);
      return misses === undefined || misses.own + misses.others <= 1;
    })
  );
};

/** Whether the engine is a decode engine with capacity for the run. */
export const hasCapacity = (
  run: PlannedRun,
  engine: EngineState,
  now: number,
): boolean => loadWith(run, engine, now) !== undefined;

/**
 * Whether a slot is expected to be free while the run needs one. If the
 * expectation is wrong, the run waits for up to its surplus over the slots, so
 * that this must be served within the time of the objective.
 */
export const hasSlot = (
  { request, schedulerCount, startsInMs, slotMs }: PlannedRun,
  engine: EngineState,
  now: number,
): boolean => {
  const { slots } = engine.view;
  if (engine.runCount * schedulerCount + 1 <= slots) return true;
  if (slotMs === Infinity || schedulerCount > 1) return false;
  const surplus = (slots * Math.max(0, request.objectiveLeftMs)) / slotMs;
  const maxRuns = slots + Math.min(MAX_SURPLUS * slots, surplus);
  if (engine.runCount + 1 > maxRuns) return false;
  const from = now + startsInMs;
  return engine.runs.slotUse.peak(from, from + slotMs, now) + 1 <= slots;
};

/**
 * The larger of the share of slots in use before the run and the share of
 * memory in use with it. Undefined if the run does not fit; a run larger than
 * the memory fits on an idle engine.
 */
const loadWith = (
  run: PlannedRun,
  engine: EngineState,
  now: number,
): number | undefined => {
  const { request, schedulerCount } = run;
  const { slots, kvCapacityTokens, stage } = engine.view;
  if (stage !== "decode") return undefined;
  const runs = engine.runCount * schedulerCount;
  if (!hasSlot(run, engine, now)) return undefined;
  const needed = request.promptTokens + request.outputTokens;
  const tokens = engine.runTokens * schedulerCount + needed;
  const memory = tokens / (kvCapacityTokens * RUN_MEMORY_SHARE);
  if (memory > 1 && engine.runCount > 0) return undefined;
  return Math.max(runs / slots, memory);
};

/**
 * Cost of placing a run on an engine. Short runs go to the least loaded engine.
 * Long runs fill one engine after another, so that the others can change their
 * stage without waiting, and can prefill without slowing streams. The cost
 * grows with the probability that the run misses its deadline there.
 */
const costOf = (
  { request, length }: PlannedRun,
  engine: EngineState,
  load: number,
  now: number,
): number => {
  const away = engine.view.domain === request.domain ? 0 : CROSS_DOMAIN_COST;
  const backlog = engine.backlogMs(now) / FULL_BACKLOG_MS;
  if (request.outputTokens < LONG_OUTPUT_TOKENS) return load + away + backlog;
  const packed = load <= PACK_LOAD ? 1 - load : 1 + load;
  const tokens = request.promptTokens + request.outputTokens;
  const missProbability = engine.runs.estimateMisses(tokens, length)?.own ?? 0;
  return packed + away + backlog + missProbability * MISS_WEIGHT;
};
