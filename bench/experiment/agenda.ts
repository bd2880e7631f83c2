import { Heap } from '../../src/core/admission/index.js';

/** Virtual time: what is due when. */
export class Agenda {
  nowMs = 0;

  /** Acts so far. */
  events = 0;

  private readonly due = new Heap<() => void>();

  at(atMs: number, act: () => void): void {
    this.due.push(Math.max(atMs, this.nowMs), act);
  }

  /** Goes on until nothing is due any more. */
  run(): void {
    while (this.due.size > 0) {
      this.nowMs = this.due.peekKey();
      this.events += 1;
      this.due.pop()!();
    }
  }
}
