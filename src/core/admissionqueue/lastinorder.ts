import type { QueueState } from './queuestate.js';
import type { Waiting } from './waiting.js';

/** Returns the last request in order of all targets; among targets with equally late ones, of the longest queue. */
export function lastInOrder({ targets }: QueueState): Waiting | undefined {
  let last: Waiting | undefined;
  let lastSize = 0;
  for (const queue of targets.values()) {
    const candidate = queue.last();
    if (!candidate) continue;
    const isLonger = candidate.group === last?.group && queue.size > lastSize;
    if (last && candidate.group <= last.group && !isLonger) continue;
    last = candidate;
    lastSize = queue.size;
  }
  return last;
}
