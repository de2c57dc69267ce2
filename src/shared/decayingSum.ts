/** A sum whose parts fade with time, for rates. Pure; times are ms. */
export class DecayingSum {
  private sum = 0;
  private at = 0;

  /** `memoryMs`: a part counts a third after so long. */
  constructor(private readonly memoryMs: number) {}

  add(part: number, now: number): void {
    this.sum = this.value(now) + part;
    this.at = now;
  }

  /** Parts a ms. */
  rate(now: number): number {
    return this.value(now) / this.memoryMs;
  }

  private value(now: number): number {
    return this.sum * Math.exp((this.at - now) / this.memoryMs);
  }
}
