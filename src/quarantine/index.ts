export { Quarantine } from "./quarantine.js";
export { requestDigest } from "./requestDigest.js";
export type { RequestIdentity } from "./requestDigest.js";
export { QUARANTINE_STATES } from "./types.js";
export type {
  QuarantineRecord,
  QuarantineState,
  QuarantineVerdict,
  EndRecord,
} from "./types.js";
