/** A mean that forgets; its first values count in full. Pure. */
export class RunningMean {
  private count = 0;

  /** `gain`: weight of one new value in the long run. */
  constructor(
    private readonly gain: number,
    public value = 0,
  ) {}

  add(seen: number): void {
    this.count += 1;
    this.value += (seen - this.value) * Math.max(this.gain, 1 / this.count);
  }
}
