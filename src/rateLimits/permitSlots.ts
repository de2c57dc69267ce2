/**
 * Permits of one of many processes that share the rate of a replica without
 * talking: one in each period, in its first half second, at a phase of this
 * process's own. What is not used is lost: where each process kept a permit
 * for later, sixty of them could use theirs in the same moment. Pure; times
 * are ms.
 */

/** A permit that is not used by then is lost, ms. */
const OPEN_MS = 500;
const MS_PER_SECOND = 1000;

export class PermitSlots {
  /** Periods that have passed, whole ones and a part. */
  private passed: number;
  private perMs = 0;
  /** Number of the last period whose permit was used. */
  private used = -1;

  /** `phase`: part of a period that has passed at the begin, 0 to 1. */
  constructor(
    phase: number,
    private at: number,
  ) {
    this.passed = phase;
  }

  /** From now on they come at this rate. */
  setRate(perS: number, now: number): void {
    this.advance(now);
    this.perMs = perS / MS_PER_SECOND;
  }

  isAvailable(now: number): boolean {
    this.advance(now);
    const period = Math.floor(this.passed);
    const openMs = (this.passed - period) / this.perMs;
    return period !== this.used && openMs < OPEN_MS;
  }

  take(now: number): boolean {
    if (!this.isAvailable(now)) return false;
    this.used = Math.floor(this.passed);
    return true;
  }

  /** Until there is one, ms. */
  waitMs(now: number): number {
    if (this.isAvailable(now)) return 0;
    return (Math.floor(this.passed) + 1 - this.passed) / this.perMs;
  }

  private advance(now: number): void {
    this.passed += Math.max(0, now - this.at) * this.perMs;
    this.at = now;
  }
}
