import type { Ms } from '../../base/index.js';

const SECOND_MS = 1000;

/** A token bucket that holds one second's worth of calls, and at least one. */
export class Budget {
  private tokens: number;

  private readonly capacity: number;

  private filledAtMs: Ms | undefined;

  constructor(private readonly perSecond: number) {
    this.capacity = Math.max(1, perSecond);
    this.tokens = this.capacity;
  }

  /** Takes one call from the budget; false when it is spent. */
  take(nowMs: Ms): boolean {
    const passedMs = nowMs - (this.filledAtMs ?? nowMs);
    this.filledAtMs = nowMs;
    this.tokens = Math.min(this.capacity, this.tokens + (passedMs * this.perSecond) / SECOND_MS);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
