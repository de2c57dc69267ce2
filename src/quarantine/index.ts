export { Quarantine } from "./quarantine.js";
export { requestDigest } from "./requestDigest.js";
export type { RequestIdentity } from "./requestDigest.js";
export { BAR_STATES } from "./types.js";
export type { Bar, BarState, BarVerdict, EndRecord } from "./types.js";
