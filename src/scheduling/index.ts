export { EngineScheduler } from "./scheduler.js";
export type { Settled } from "./scheduler.js";
export type { SchedulerLoad } from "./schedulerLoad.js";
export type { ReadCost } from "./readPace.js";
export { StageDemand } from "./stageDemand.js";
export { planStages } from "./stagePlanner.js";
export type { PlannedEngine, StageChange } from "./stagePlanner.js";
export { REFUSAL_CAUSES, STAGES } from "./types.js";
export type {
  CachePart,
  EngineView,
  Grant,
  HeldPart,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
  Queued,
  Refusal,
  Stage,
  StreamResult,
} from "./types.js";
