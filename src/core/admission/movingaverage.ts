/** Exponential moving average: each value moves it by a fixed fraction of the difference. */
export class MovingAverage {
  private current: number | undefined;

  constructor(private readonly weight: number) {}

  get known(): boolean {
    return this.current !== undefined;
  }

  add(value: number): void {
    this.current =
      this.current === undefined ? value : this.current + this.weight * (value - this.current);
  }

  /** Returns the average, or `fallback` before the first value. */
  valueOr(fallback: number): number {
    return this.current ?? fallback;
  }
}
