export {
  adoptSnapshot,
  FLEET_PART,
  missingFingerprints,
  toSnapshot,
} from "./configState.js";
export type { ConfigHead, ConfigSnapshot, ConfigState } from "./configState.js";
export { configSchema, REPEAT_POLICIES, ROLES, URGENCIES } from "./types.js";
export type {
  Config,
  Fleet,
  RepeatPolicy,
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
