/**
 * A moving average. The first values are averaged equally; later ones get the
 * weight `gain`.
 */
export class RunningMean {
  private count = 0;

  /** `gain`: minimum weight of a new value. */
  constructor(
    private readonly gain: number,
    public value = 0,
  ) {}

  add(sample: number): void {
    this.count += 1;
    this.value += (sample - this.value) * Math.max(this.gain, 1 / this.count);
  }
}
