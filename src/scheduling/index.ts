export { EngineScheduler } from "./scheduler.js";
export type { SchedulerLoad } from "./scheduler.js";
export { STAGES } from "./types.js";
export type {
  CachePart,
  EngineView,
  Grant,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
  Refusal,
  Stage,
} from "./types.js";
