export { Quarantine } from "./quarantine.js";
export { requestDigest } from "./requestDigest.js";
export type { RequestIdentity } from "./requestDigest.js";
export { QUARANTINE_STATES } from "./types.js";
export { isPartKey, sharedPartKeys } from "./promptParts.js";
export type {
  QuarantineRecord,
  QuarantineState,
  QuarantineVerdict,
  EndRecord,
  SuspectRequest,
} from "./types.js";
