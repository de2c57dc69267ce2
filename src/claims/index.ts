export { StoredClaims } from "./storedClaims.js";
export type { ClaimAnswer, ClaimRequest, Claims, KeptAnswer } from "./types.js";
