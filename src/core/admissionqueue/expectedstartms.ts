import type { Ms } from '../../base/index.js';
import type { TargetQueue } from './targetqueue.js';
import type { Waiting } from './waiting.js';

/** Returns when a request of a target is expected to start: its position divided by the rate of free slots. */
export function expectedStartMs(queue: TargetQueue, waiting: Waiting, nowMs: Ms): Ms {
  const position = queue.expectedAhead(waiting, nowMs) + 1;
  const rank = Math.floor(waiting.group / 2);
  return nowMs + position / queue.rate.perMs(rank, nowMs);
}
