import type { Ms } from '../../base/index.js';

const SECOND_MS = 1000;

/** Token bucket whose capacity is the calls of one second, but at least one. */
export class TokenBucket {
  private tokens: number;

  private readonly capacity: number;

  private refilledAtMs: Ms | undefined;

  constructor(private readonly perSecond: number) {
    this.capacity = Math.max(1, perSecond);
    this.tokens = this.capacity;
  }

  /** Takes one token. Returns false if there is none. */
  take(nowMs: Ms): boolean {
    const passedMs = nowMs - (this.refilledAtMs ?? nowMs);
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(this.capacity, this.tokens + (passedMs * this.perSecond) / SECOND_MS);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
