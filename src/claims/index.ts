export { StoredClaims } from "./storedClaims.js";
export type {
  ClaimAnswer,
  ClaimRequest,
  Claims,
  StoredAnswer,
} from "./types.js";
