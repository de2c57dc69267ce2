/**
 * Permits of one of many processes that share a replica's rate without
 * coordination: one per period, valid in the period's first half second, at a
 * random phase per process. Unused permits are lost: if each process kept one
 * for later, sixty of them could use theirs at the same moment. Pure; times are
 * ms.
 */

/** How long a permit can be used from the start of its period, ms. */
const SLOT_MS = 500;
const MS_PER_SECOND = 1000;

export class PermitSlots {
  /** Periods passed so far, including the fraction of the current one. */
  private passed: number;
  private perMs = 0;
  /** Number of the last period whose permit was used. */
  private used = -1;

  /** `phase`: fraction of a period that has passed at the start, 0 to 1. */
  constructor(
    phase: number,
    private at: number,
  ) {
    this.passed = phase;
  }

  /** Sets the rate at which periods pass. */
  setRate(perS: number, now: number): void {
    this.advance(now);
    this.perMs = perS / MS_PER_SECOND;
  }

  isAvailable(now: number): boolean {
    this.advance(now);
    const period = Math.floor(this.passed);
    const openMs = (this.passed - period) / this.perMs;
    return period !== this.used && openMs < SLOT_MS;
  }

  take(now: number): boolean {
    if (!this.isAvailable(now)) return false;
    this.used = Math.floor(this.passed);
    return true;
  }

  /** Time until a permit is available, ms. */
  waitMs(now: number): number {
    if (this.isAvailable(now)) return 0;
    return (Math.floor(this.passed) + 1 - this.passed) / this.perMs;
  }

  private advance(now: number): void {
    this.passed += Math.max(0, now - this.at) * this.perMs;
    this.at = now;
  }
}
