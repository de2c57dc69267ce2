export { EngineScheduler } from "./scheduler.js";
export type { SchedulerLoad } from "./scheduler.js";
export { planStages } from "./stagePlanner.js";
export type { PlannedEngine, StageChange } from "./stagePlanner.js";
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
