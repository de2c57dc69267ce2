/** What has been asked of a service's engines, as sums that only grow. */
export interface DemandTotals {
  /** Reading time of one prefill engine, refused requests included, ms. */
  prefillMs: number;
  /** Reading of short rests by engines that make tokens, ms. */
  decodePrefillMs: number;
  /**
   * Time that runs take a slot, ms, and a place in memory, token x ms, as far
   * as their lengths tell. Runs that are there now tell of it only when the
   * longest have had the time to come together.
   */
  runMs: number;
  runTokenMs: number;
}

export const NO_DEMAND: Readonly<DemandTotals> = {
  prefillMs: 0,
  decodePrefillMs: 0,
  runMs: 0,
  runTokenMs: 0,
};
