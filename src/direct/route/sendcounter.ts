import type { Ms } from '../../base/index.js';

/** Number of parts of the window. The counted time is up to one part longer than the window. */
const PARTS = 8;

/** Counts the requests sent to an upstream within a sliding window, approximately and in constant space. */
export class SendCounter {
  private readonly counts = new Array<number>(PARTS + 1).fill(0);

  private part = 0;

  constructor(private readonly windowMs: Ms) {}

  add(nowMs: Ms): void {
    this.advance(nowMs);
    this.counts[this.part % this.counts.length]! += 1;
  }

  sum(nowMs: Ms): number {
    this.advance(nowMs);
    return this.counts.reduce((sum, count) => sum + count, 0);
  }

  private advance(nowMs: Ms): void {
    const part = Math.floor((nowMs * PARTS) / this.windowMs);
    const { length } = this.counts;
    const from = Math.max(this.part + 1, part - length + 1);
    for (let at = from; at <= part; at += 1) this.counts[at % length] = 0;
    this.part = Math.max(this.part, part);
  }
}
