/** An exponentially decaying sum, for rates. Times are in ms. */
export class DecayingSum {
  private sum = 0;
  private at = 0;

  /** `memoryMs`: time constant; after it a part counts 1/e, about a third. */
  constructor(private readonly memoryMs: number) {}

  add(part: number, now: number): void {
    this.sum = this.value(now) + part;
    this.at = now;
  }

  /** Smoothed rate per ms. */
  rate(now: number): number {
    return this.value(now) / this.memoryMs;
  }

  value(now: number): number {
    return this.sum * Math.exp((this.at - now) / this.memoryMs);
  }
}
