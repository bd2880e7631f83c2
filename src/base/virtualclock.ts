import type { Clock } from './clock.js';
import type { Ms } from './ms.js';

interface Alarm {
  readonly atMs: Ms;
  readonly act: () => void;
}

/** A clock that moves only when told to, for tests and for experiments in virtual time. */
export class VirtualClock implements Clock {
  private currentMs: Ms = 0;

  /** The earliest last, so that it is taken from the end. */
  private readonly alarms: Alarm[] = [];

  nowMs(): Ms {
    return this.currentMs;
  }

  wallMs(): Ms {
    return this.currentMs;
  }

  after(delayMs: Ms, act: () => void): () => void {
    const alarm = { atMs: this.currentMs + Math.max(0, delayMs), act };
    this.alarms.splice(this.placeOf(alarm.atMs), 0, alarm);
    return () => {
      const place = this.alarms.indexOf(alarm);
      if (place >= 0) this.alarms.splice(place, 1);
    };
  }

  /** Moves to `untilMs` and calls each due alarm on the way, in order of time. */
  advanceTo(untilMs: Ms): void {
    for (let due = this.nextDue(untilMs); due; due = this.nextDue(untilMs)) {
      this.currentMs = due.atMs;
      due.act();
    }
    this.currentMs = untilMs;
  }

  /** Where an alarm goes that is set now: before all that are due at the same time or earlier. */
  private placeOf(atMs: Ms): number {
    let low = 0;
    let high = this.alarms.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.alarms[middle] as Alarm).atMs > atMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  private nextDue(untilMs: Ms): Alarm | undefined {
    const last = this.alarms.at(-1);
    return last && last.atMs <= untilMs ? this.alarms.pop() : undefined;
  }
}
