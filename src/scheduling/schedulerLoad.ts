/** What has been asked of a service's engines, as sums that only grow. */
export interface SchedulerLoad {
  /** Reading time of one prefill engine, refused requests included, ms. */
  readMs: number;
  /** Reading of short rests by engines that make tokens, ms. */
  restMs: number;
  /**
   * Time that runs take a slot, ms, and a place in memory, token x ms, as far
   * as their lengths tell. Runs that are there now tell of it only when the
   * longest have had the time to come together.
   */
  runMs: number;
  runTokenMs: number;
}

export const NO_LOAD: Readonly<SchedulerLoad> = {
  readMs: 0,
  restMs: 0,
  runMs: 0,
  runTokenMs: 0,
};
