import type { Clock, Ms } from '../../base/index.js';
import type { TimeSource } from './timesource.js';

interface Alarm {
  readonly atMs: Ms;
  readonly act: () => void;
  timer: NodeJS.Timeout;
}

/**
 * How often suspension is looked for: the timers that it held up are this late at most once the host is awake
 * again. A look costs 0.14 us (a million of them).
 */
const LOOK_MS = 50;
/** Two clocks that are read one after the other differ by less, also on a host without a free processor. */
const LEAST_SUSPENSION_MS = 20;

/**
 * The clock of a process on a host that may be suspended. What a right, a deadline or an age is judged by goes on
 * meanwhile, so that a process which wakes sees at once how old everything is. Timers of the operating system stand
 * still with the host: once it is awake they are set anew, by what is left.
 */
export class HostClock implements Clock {
  private readonly alarms = new Set<Alarm>();

  private readonly zeroMs: Ms;

  /** How far the clock that goes on was ahead of the steady one when that was last looked at. */
  private aheadMs: Ms;

  private readonly looking: NodeJS.Timeout;

  constructor(
    private readonly source: TimeSource,
    /** Called when the host is awake again. */
    private readonly woke: (suspendedMs: Ms) => void,
  ) {
    this.zeroMs = source.boottimeMs() - source.steadyMs();
    this.aheadMs = this.zeroMs;
    this.looking = setInterval(() => this.look(), LOOK_MS).unref();
  }

  nowMs(): Ms {
    return this.source.boottimeMs() - this.zeroMs;
  }

  wallMs(): Ms {
    return this.source.wallMs();
  }

  after(delayMs: Ms, act: () => void): () => void {
    const alarm: Alarm = {
      atMs: this.nowMs() + delayMs,
      act,
      timer: setTimeout(() => this.fire(alarm), delayMs),
    };
    this.alarms.add(alarm);
    return () => this.forget(alarm);
  }

  /** Looks for suspension no more; alarms that are set still come. */
  close(): void {
    clearInterval(this.looking);
  }

  private fire(alarm: Alarm): void {
    this.alarms.delete(alarm);
    alarm.act();
  }

  private forget(alarm: Alarm): void {
    this.alarms.delete(alarm);
    clearTimeout(alarm.timer);
  }

  private look(): void {
    const aheadMs = this.source.boottimeMs() - this.source.steadyMs();
    const suspendedMs = aheadMs - this.aheadMs;
    if (suspendedMs < LEAST_SUSPENSION_MS) return;
    this.aheadMs = aheadMs;
    const nowMs = this.nowMs();
    for (const alarm of this.alarms) {
      clearTimeout(alarm.timer);
      alarm.timer = setTimeout(() => this.fire(alarm), Math.max(0, alarm.atMs - nowMs));
    }
    this.woke(suspendedMs);
  }
}
