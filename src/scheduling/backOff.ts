/**
 * Back-off of one engine after failures: no work for a time if other engines can
 * do it. Pure; times are ms.
 */

/** First back-off after failures, ms; each further failure doubles it. */
const INITIAL_BACK_OFF_MS = 700;
export const MAX_BACK_OFF_MS = 6000;
const FAILURES_TO_BACK_OFF = 2;

export class BackOff {
  private until = 0;
  private failures = 0;
  /** Runs refused in a row for want of a handle of this engine. */
  private handleFailures = 0;

  isActive(now: number): boolean {
    return this.until > now;
  }

  /**
   * Records whether a request to the engine succeeded. Repeated failures cause
   * a back-off.
   */
  recordOutcome(ok: boolean, now: number): void {
    if (ok) {
      this.failures = 0;
      return;
    }
    this.failures += 1;
    this.backOffAfter(this.failures, now);
  }

  /**
   * Records whether a run could use a prefill of this engine. Counted apart: a
   * prefill whose handle is gone later was reported as a success.
   */
  recordHandleOutcome(ok: boolean, now: number): void {
    this.handleFailures = ok ? 0 : this.handleFailures + 1;
    this.backOffAfter(this.handleFailures, now);
  }

  private backOffAfter(failures: number, now: number): void {
    if (failures < FAILURES_TO_BACK_OFF || this.isActive(now)) return;
    const times = failures - FAILURES_TO_BACK_OFF;
    const pause = Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** times);
    this.until = now + pause;
  }

  /**
   * Starts a back-off at once, so that no further requests fail on the engine.
   */
  recordUnresponsive(now: number): void {
    if (this.isActive(now)) return;
    this.failures = Math.max(this.failures, FAILURES_TO_BACK_OFF);
    this.recordOutcome(false, now);
  }
}
