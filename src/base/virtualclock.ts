import type { Clock } from './clock.js';
import type { Ms } from './ms.js';

interface Alarm {
  readonly atMs: Ms;
  readonly order: number;
  readonly act: () => void;
}

/** A clock that moves only when told to, for tests and for experiments in virtual time. */
export class VirtualClock implements Clock {
  private currentMs: Ms = 0;

  private order = 0;

  private alarms: Alarm[] = [];

  nowMs(): Ms {
    return this.currentMs;
  }

  wallMs(): Ms {
    return this.currentMs;
  }

  after(delayMs: Ms, act: () => void): () => void {
    this.order += 1;
    const alarm = { atMs: this.currentMs + Math.max(0, delayMs), order: this.order, act };
    this.alarms.push(alarm);
    return () => {
      this.alarms = this.alarms.filter((other) => other !== alarm);
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

  private nextDue(untilMs: Ms): Alarm | undefined {
    const [first] = this.alarms
      .filter((alarm) => alarm.atMs <= untilMs)
      .sort((a, b) => a.atMs - b.atMs || a.order - b.order);
    if (first) this.alarms = this.alarms.filter((alarm) => alarm !== first);
    return first;
  }
}
