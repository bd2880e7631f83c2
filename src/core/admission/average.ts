/** A mean that follows what is measured: each value moves it by a fixed part. */
export class Average {
  private current: number | undefined;

  constructor(private readonly part: number) {}

  get known(): boolean {
    return this.current !== undefined;
  }

  add(value: number): void {
    this.current =
      this.current === undefined ? value : this.current + this.part * (value - this.current);
  }

  /** The mean, or the given value while nothing has been measured. */
  or(fallback: number): number {
    return this.current ?? fallback;
  }
}
