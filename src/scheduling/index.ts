export { EngineScheduler } from "./scheduler.js";
export type { QueuedAnswer } from "./scheduler.js";
export type { DemandTotals } from "./demandTotals.js";
export type { PrefillCost } from "./prefillTimeModel.js";
export { refuse } from "./refusals.js";
export type { FlowKey, FlowRefusals, FlowShare } from "./fairShares.js";
export { unevenEngines } from "./engineSummary.js";
export { StageDemand } from "./stageDemand.js";
export { planStages } from "./stagePlanner.js";
export type { PlannedEngine, StageChange } from "./stagePlanner.js";
export { usualRetryMs } from "./refusals.js";
export { ORIGIN_SOURCES, REFUSAL_CAUSES, STAGES } from "./types.js";
export type {
  CachePart,
  EngineView,
  Grant,
  HeldPart,
  OriginSource,
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
  Queued,
  Refusal,
  RefusalCause,
  SoleVersion,
  Stage,
  StreamRef,
  StreamResult,
} from "./types.js";
