export { decideRetry, earnRetry, newRetryBudget } from "./retry.js";
export type { RetryAnswer, RetryQuestion } from "./retry.js";
