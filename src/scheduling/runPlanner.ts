/** Which engine makes the tokens of a request. Pure. */
import type { EngineState } from "./engineState.js";
import type { PlacementAsk } from "./types.js";

/** Runs of at least this many tokens are packed. */
export const LONG_OUTPUT_TOKENS = 512;
/**
 * Packed engines are filled up to this share of slots or memory: beyond it
 * each step takes so much longer that the longest streams miss their time.
 */
const PACK_LOAD = 0.6;
/** Engines in another failure domain count as this much busier, share of slots. */
const OTHER_DOMAIN_COST = 0.02;
/** Share of the KV memory that running requests may take. */
const RUN_MEMORY_SHARE = 0.92;
/** Reading ahead of it counts as a full engine at this much, ms. */
const FULL_BACKLOG_MS = 1000;

/**
 * The decode engine that suits the run best; undefined if all are full.
 * `share`: schedulers that place on these engines without talking.
 */
export const chooseRunner = (
  ask: PlacementAsk,
  open: readonly EngineState[],
  share: number,
  now: number,
): EngineState | undefined => {
  let best: { engine: EngineState; cost: number } | undefined;
  for (const engine of open) {
    const load = loadWith(ask, engine, share);
    if (load === undefined) continue;
    const cost = costOf(ask, engine, load, now);
    if (best === undefined || cost < best.cost) best = { engine, cost };
  }
  return best?.engine;
};

/** Whether the engine makes tokens and has room for the run. */
export const hasRoom = (
  ask: PlacementAsk,
  engine: EngineState,
  share: number,
): boolean => loadWith(ask, engine, share) !== undefined;

/** Share of slots or memory in use with the run; undefined if too much. */
const loadWith = (
  ask: PlacementAsk,
  engine: EngineState,
  share: number,
): number | undefined => {
  const { slots, kvCapacityTokens, stage } = engine.view;
  if (stage !== "decode") return undefined;
  const runs = engine.runCount * share;
  if (runs + 1 > slots) return undefined;
  const needed = ask.promptTokens + ask.outputTokens;
  const tokens = engine.runTokens * share + needed;
  const memory = tokens / (kvCapacityTokens * RUN_MEMORY_SHARE);
  if (memory > 1 && engine.runCount > 0) return undefined;
  return Math.max(runs / slots, memory);
};

/**
 * An engine that makes tokens more slowly by a tenth counts as fuller by this
 * share of a tenth for long answers: the longest need most of their time.
 */
const SLOW_WEIGHT = 1;

/**
 * Short runs go to the least loaded engine. Long ones fill one engine after
 * the other, so that the rest can change their stage without a wait, and
 * read without slowing streams.
 */
const costOf = (
  ask: PlacementAsk,
  engine: EngineState,
  load: number,
  now: number,
): number => {
  const away = engine.view.domain === ask.domain ? 0 : OTHER_DOMAIN_COST;
  const reading = engine.backlogMs(now) / FULL_BACKLOG_MS;
  if (ask.outputTokens < LONG_OUTPUT_TOKENS) return load + away + reading;
  const packed = load <= PACK_LOAD ? 1 - load : 1 + load;
  const slower = (engine.runFactor - 1) * SLOW_WEIGHT;
  return packed + away + reading + slower;
};
