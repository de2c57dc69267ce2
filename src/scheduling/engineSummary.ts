/** Describes slow engines and those with more runs than slots. Pure. */
import type { EngineState } from "./engineState.js";

/** Relative prefill time from which an engine is called slow. */
const SLOW_TIME = 1.5;

export interface EngineSummary {
  engine: string;
  /** Prefill time relative to the service's other engines. */
  prefillTime: number;
  runs: number;
  slots: number;
}

export const unevenEngines = (
  engines: readonly EngineState[],
  now: number,
): EngineSummary[] =>
  engines
    .map((engine) => ({
      engine: engine.view.id,
      prefillTime: Number(engine.relativePrefillTime(now).toFixed(2)),
      runs: engine.runCount,
      slots: engine.view.slots,
    }))
    .filter(
      ({ prefillTime, runs, slots }) =>
        prefillTime >= SLOW_TIME || runs > slots,
    );
