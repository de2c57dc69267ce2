/** Rate limits reported by replicas, and the permits to send within them. */
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
