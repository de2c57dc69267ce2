export { updateTokenRates } from "./demand.js";
export type { TokenRates, TokenCounters } from "./demand.js";
export { planRole, servedShare } from "./rolePlan.js";
export type { EngineReport, RolePlan, RolePlanInput } from "./rolePlan.js";
