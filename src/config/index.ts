export {
  adoptSnapshot,
  FLEET_PART,
  missingPrints,
  toSnapshot,
} from "./configState.js";
export type { ConfigHead, ConfigSnapshot, ConfigState } from "./configState.js";
export { configSchema, REPEATS, ROLES, URGENCIES } from "./types.js";
export type {
  Config,
  Fleet,
  Repeat,
  RequestClass,
  Role,
  Service,
  Upstream,
  Urgency,
} from "./types.js";
export { applyConfig } from "./applyConfig.js";
export type { ApplyResult } from "./applyConfig.js";
export { CONFIG_KIND, ConfigKeeper } from "./configKeeper.js";
export { ConfigWatch } from "./configWatch.js";
