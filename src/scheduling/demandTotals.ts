/** Cumulative demand on the engines of a service. The totals only grow. */
export interface DemandTotals {
  /** Prefill time on a single prefill engine, refused requests included, ms. */
  prefillMs: number;
  /**
   * Time for prompts prefilled by decode engines, ms: short uncached
   * remainders, and requests that must be whole, refused ones included.
   */
  decodePrefillMs: number;
  /**
   * Estimated slot time of runs, ms, from their output tokens. The number of
   * current runs shows this demand only once the longest runs have
   * accumulated.
   */
  runMs: number;
  /** Estimated KV memory use of runs over time, token x ms. */
  runTokenMs: number;
}

export const NO_DEMAND: Readonly<DemandTotals> = {
  prefillMs: 0,
  decodePrefillMs: 0,
  runMs: 0,
  runTokenMs: 0,
};
