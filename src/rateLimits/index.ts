/** The rates that replicas say they take, and who may use them. */
export { RateLimits } from "./rateLimits.js";
export { RateNewsFilter } from "./rateNewsFilter.js";
export { NO_LIMITS } from "./types.js";
export type {
  EnginePermits,
  PermitAnswer,
  PermitShare,
  RateNews,
} from "./types.js";
export type { RateReport } from "./rateLimits.js";
