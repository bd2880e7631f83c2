import type { Clock } from './clock.js';
import type { Ms } from './ms.js';

interface Timer {
  readonly atMs: Ms;
  readonly act: () => void;
}

/** A clock that advances only on request, for tests and simulations. */
export class VirtualClock implements Clock {
  private currentMs: Ms = 0;

  /** Sorted by due time, the earliest last, so that the next timer is popped from the end. */
  private readonly timers: Timer[] = [];

  nowMs(): Ms {
    return this.currentMs;
  }

  wallMs(): Ms {
    return this.currentMs;
  }

  after(delayMs: Ms, act: () => void): () => void {
    const timer = { atMs: this.currentMs + Math.max(0, delayMs), act };
    this.timers.splice(this.insertionIndex(timer.atMs), 0, timer);
    return () => {
      const place = this.timers.indexOf(timer);
      if (place >= 0) this.timers.splice(place, 1);
    };
  }

  /** Advances to `untilMs` and calls each timer that falls due, in order of time. */
  advanceTo(untilMs: Ms): void {
    for (let due = this.popDue(untilMs); due; due = this.popDue(untilMs)) {
      this.currentMs = due.atMs;
      due.act();
    }
    this.currentMs = untilMs;
  }

  /** Returns the index for a new timer: before all timers that are due at the same time or earlier. */
  private insertionIndex(atMs: Ms): number {
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.timers[middle] as Timer).atMs > atMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  private popDue(untilMs: Ms): Timer | undefined {
    const last = this.timers.at(-1);
    return last && last.atMs <= untilMs ? this.timers.pop() : undefined;
  }
}
