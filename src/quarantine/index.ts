export { requestDigest } from "./requestDigest.js";
export type { RequestIdentity } from "./requestDigest.js";
