import type { Waiting } from './waiting.js';

function isBefore(one: Waiting, other: Waiting): boolean {
  const { dueAtMs, arrivedAtMs, id, isReturn } = one.request;
  const { request } = other;
  // A caller that was refused once gives up after another refusal, and is not refused to save others.
  if (isReturn !== request.isReturn) return isReturn;
  if (dueAtMs !== request.dueAtMs) return dueAtMs < request.dueAtMs;
  if (arrivedAtMs !== request.arrivedAtMs) return arrivedAtMs < request.arrivedAtMs;
  return id < request.id;
}

/**
 * Waiting requests of one customer in the order in which they are due. It is a sorted array, because the position of a
 * request has to be known; at 4,096 entries an insertion moves 32 kB at most.
 */
export class DueList {
  private readonly items: Waiting[] = [];

  private tokens = 0;

  get size(): number {
    return this.items.length;
  }

  get meanTokens(): number {
    return this.tokens / Math.max(1, this.items.length);
  }

  first(): Waiting | undefined {
    return this.items[0];
  }

  last(): Waiting | undefined {
    return this.items.at(-1);
  }

  /** Returns the number of requests that are due before this one. */
  position(waiting: Waiting): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (isBefore(this.items[middle]!, waiting)) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  insert(waiting: Waiting): void {
    this.items.splice(this.position(waiting), 0, waiting);
    this.tokens += waiting.request.tokens;
  }

  remove(waiting: Waiting): void {
    const at = this.position(waiting);
    if (this.items[at] !== waiting) return;
    if (at === 0) this.items.shift();
    else this.items.splice(at, 1);
    this.tokens -= waiting.request.tokens;
  }
}
