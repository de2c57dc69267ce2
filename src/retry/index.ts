export { decideRetry, creditRetryBudget, newRetryBudget } from "./retry.js";
export type { RetryDecision, RetryContext } from "./retry.js";
