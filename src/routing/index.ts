export * from "./loadModel.js";
export { createPolicy, POLICY_NAMES } from "./policies.js";
export type { PolicyName } from "./policies.js";
export { BLOCK_TOKENS, estimateTokens, prefixChain } from "./prefixes.js";
export { Router } from "./router.js";
export { SIDE_STATES } from "./types.js";
export type {
  Candidate,
  Choice,
  LoadReport,
  RoutePhase,
  RouteRequest,
  RoutingPolicy,
  SideState,
} from "./types.js";
