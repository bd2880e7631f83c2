import type { Ms } from '../../base/index.js';

/** Counts events in a sliding time window. */
export class SlidingWindow {
  private times: Ms[] = [];

  private from = 0;

  add(nowMs: Ms): void {
    this.times.push(nowMs);
  }

  count(nowMs: Ms, windowMs: Ms): number {
    while (this.from < this.times.length && this.times[this.from]! <= nowMs - windowMs) {
      this.from += 1;
    }
    if (this.from * 2 > this.times.length) {
      this.times = this.times.slice(this.from);
      this.from = 0;
    }
    return this.times.length - this.from;
  }
}
