/** Detects at an entry that the lease holder answers late. Pure. */

/** Time in which late answers are counted, ms: about three timeouts of an ask. */
const LATE_WINDOW_MS = 300;
/** Late answers in that time that are no chance event. */
const LATE_ANSWERS = 3;

export class HolderLateness {
  /** Times of the latest late answers, ms. */
  private lateAt: number[] = [];
  /** Whether the holder is late; ends with the first answer in time. */
  isLate = false;

  /** An ask was neither answered nor queued in time. */
  recordLate(now: number): void {
    this.lateAt = [...this.lateAt, now].slice(-LATE_ANSWERS);
    const [first = now] = this.lateAt;
    if (this.lateAt.length < LATE_ANSWERS) return;
    if (now - first <= LATE_WINDOW_MS) this.isLate = true;
  }

  recordInTime(): void {
    if (this.isLate) this.reset();
  }

  /** Forgets the answers of an earlier holder. */
  reset(): void {
    this.lateAt = [];
    this.isLate = false;
  }
}
