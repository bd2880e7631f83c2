/** The engine's own time, which may run faster than real time, and its one alarm. */
export class EngineClock {
  private readonly startMs = performance.now();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly speed: number) {}

  nowMs(): number {
    return (performance.now() - this.startMs) * this.speed;
  }

  /** Real milliseconds of so many of the engine's. */
  realMs(engineMs: number): number {
    return engineMs / this.speed;
  }

  /** Sets the alarm anew; undefined takes it back. */
  alarm(atMs: number | undefined, act: () => void): void {
    clearTimeout(this.timer);
    if (atMs === undefined) return;
    this.timer = setTimeout(act, this.realMs(atMs - this.nowMs()));
  }
}
