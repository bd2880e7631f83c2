import { MAX_TIMER_MS, type Clock, type Ms } from '../../base/index.js';
import type { TimeSource } from './timesource.js';

interface PendingTimer {
  readonly atMs: Ms;
  readonly act: () => void;
  timer: NodeJS.Timeout;
}

/**
 * Interval of the check for suspension. After the host resumes, delayed timers are late by at most this. One check
 * costs 0.14 us.
 */
const CHECK_INTERVAL_MS = 50;
/** Two clocks read one after the other differ by less than this, even on a host without a free CPU. */
const MIN_SUSPENSION_MS = 20;

/**
 * Clock of a process on a host that may be suspended. `nowMs` includes suspended time, so leases, deadlines and ages
 * are correct right after the host resumes. Timers of the operating system do not count suspended time, so pending
 * timers are then set again with the remaining delay.
 */
export class HostClock implements Clock {
  private readonly pending = new Set<PendingTimer>();

  private readonly originMs: Ms;

  /** Difference between boottime and steady clock at the last check. */
  private lastOffsetMs: Ms;

  private readonly checkTimer: NodeJS.Timeout;

  constructor(
    private readonly source: TimeSource,
    /** Called after the host has resumed. */
    private readonly onResume: (suspendedMs: Ms) => void,
  ) {
    this.originMs = source.boottimeMs() - source.steadyMs();
    this.lastOffsetMs = this.originMs;
    this.checkTimer = setInterval(() => this.checkSuspension(), CHECK_INTERVAL_MS).unref();
  }

  nowMs(): Ms {
    return this.source.boottimeMs() - this.originMs;
  }

  wallMs(): Ms {
    return this.source.wallMs();
  }

  after(delayMs: Ms, act: () => void): () => void {
    const pendingTimer: PendingTimer = {
      atMs: this.nowMs() + delayMs,
      act,
      timer: setTimeout(() => this.fire(pendingTimer), Math.min(delayMs, MAX_TIMER_MS)),
    };
    this.pending.add(pendingTimer);
    return () => this.cancel(pendingTimer);
  }

  /** Stops the check for suspension. Pending timers still fire. */
  close(): void {
    clearInterval(this.checkTimer);
  }

  private fire(pendingTimer: PendingTimer): void {
    this.pending.delete(pendingTimer);
    pendingTimer.act();
  }

  private cancel(pendingTimer: PendingTimer): void {
    this.pending.delete(pendingTimer);
    clearTimeout(pendingTimer.timer);
  }

  private checkSuspension(): void {
    const offsetMs = this.source.boottimeMs() - this.source.steadyMs();
    const suspendedMs = offsetMs - this.lastOffsetMs;
    if (suspendedMs < MIN_SUSPENSION_MS) return;
    this.lastOffsetMs = offsetMs;
    const nowMs = this.nowMs();
    for (const pendingTimer of this.pending) {
      clearTimeout(pendingTimer.timer);
      pendingTimer.timer = setTimeout(
        () => this.fire(pendingTimer),
        Math.min(Math.max(0, pendingTimer.atMs - nowMs), MAX_TIMER_MS),
      );
    }
    this.onResume(suspendedMs);
  }
}
