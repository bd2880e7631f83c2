/** The engine's clock, which may run faster than real time, with a single timer. */
export class EngineClock {
  private readonly startMs = performance.now();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly speed: number) {}

  nowMs(): number {
    return (performance.now() - this.startMs) * this.speed;
  }

  /** Converts a duration of engine time to real time. */
  realMs(engineMs: number): number {
    return engineMs / this.speed;
  }

  /** Replaces the timer; undefined cancels it. */
  setTimer(atMs: number | undefined, act: () => void): void {
    clearTimeout(this.timer);
    if (atMs === undefined) return;
    this.timer = setTimeout(act, this.realMs(atMs - this.nowMs()));
  }
}
