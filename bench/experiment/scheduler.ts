import { Heap } from '../../src/core/admission/index.js';

/** Runs scheduled callbacks in order of their virtual time. */
export class Scheduler {
  nowMs = 0;

  /** Number of callbacks run so far. */
  events = 0;

  private readonly due = new Heap<() => void>();

  at(atMs: number, act: () => void): void {
    this.due.push(Math.max(atMs, this.nowMs), act);
  }

  /** Runs callbacks until none is scheduled. */
  run(): void {
    while (this.due.size > 0) {
      this.nowMs = this.due.peekKey();
      this.events += 1;
      this.due.pop()!();
    }
  }
}
