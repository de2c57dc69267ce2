export {
  ConfigFreshness,
  MAX_WATCH_LAG_MS,
  provenAt,
} from "./configFreshness.js";
export type { ConfigNews } from "./configFreshness.js";
export { checkKey, maxProofAgeMs } from "./keyCheck.js";
export type { KeyBounds, CallerIdentity, KeyCheckResult } from "./keyCheck.js";
export { keyDigest, Keyring } from "./keyring.js";
export type { Workspace } from "./keyring.js";
export { UsageCounts, UsageLedger } from "./usageCounts.js";
export type { UsageWindows, WindowCounts } from "./usageCounts.js";
export { UsageReporter } from "./usageReporter.js";
export type { DutyOutcome, DutyPort, UsageCall } from "./usageReporter.js";
