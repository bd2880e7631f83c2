import type { QueueState } from './queuestate.js';

/** Heaps are cleaned once they hold this many times as many entries as requests wait. */
const MAX_RATIO = 2;
const MIN_SIZE = 64;

/** Drops requests that have left from the heaps, so that a flood of short waits does not fill the memory. */
export function compact({ waiting, changes, reviews }: QueueState): void {
  const maxSize = Math.max(MIN_SIZE, waiting.size * MAX_RATIO);
  for (const heap of [changes, reviews]) {
    if (heap.size > maxSize) heap.retain(({ isWaiting }) => isWaiting);
  }
}
