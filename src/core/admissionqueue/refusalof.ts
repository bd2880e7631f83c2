import type { Ms } from '../../base/index.js';
import { expectedStartMs } from './expectedstartms.js';
import type { QueueRefusal } from './queuerefusal.js';
import type { TargetQueue } from './targetqueue.js';
import type { Waiting } from './waiting.js';

/** Describes the refusal of a request. */
export function refusalOf(
  queue: TargetQueue,
  waiting: Waiting,
  reason: QueueRefusal['reason'],
  nowMs: Ms,
): QueueRefusal {
  return {
    request: waiting.request,
    reason,
    ahead: queue.expectedAhead(waiting, nowMs),
    expectedStartMs: expectedStartMs(queue, waiting, nowMs),
  };
}
