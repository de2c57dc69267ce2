export { nextDemand } from "./demand.js";
export type { Demand, TokenCounters } from "./demand.js";
export { planRole, servedShare } from "./rolePlan.js";
export type { EngineReport, RolePlan, RoleQuestion } from "./rolePlan.js";
