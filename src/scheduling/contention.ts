/** Whether requests contend for engines. Pure; times are ms. */

/**
 * Contention lasts for this time after the last sign of it. Prefills and short
 * runs of a burst end well within it, so it does not lapse between them.
 */
const CONTENTION_MS = 300;

export class Contention {
  private lastAt = -Infinity;

  /**
   * Records that a first attempt was refused for lack of engine time or slots,
   * or waited past its latest start in time.
   */
  record(now: number): void {
    this.lastAt = now;
  }

  isActive(now: number): boolean {
    return now - this.lastAt <= CONTENTION_MS;
  }
}
