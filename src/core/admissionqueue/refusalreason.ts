import type { Ms } from '../../base/index.js';
import { expectedStartMs } from './expectedstartms.js';
import { queueRules } from './queuerules.js';
import type { QueueRefusal } from './queuerefusal.js';
import type { TargetQueue } from './targetqueue.js';
import type { Waiting } from './waiting.js';

/**
 * Returns why a request should be refused now; undefined if it should wait. `isBlocked` is true if the target was found
 * without a free slot a moment ago: without that, a forecast refuses nothing.
 */
export function refusalReason(
  queue: TargetQueue,
  waiting: Waiting,
  isBlocked: boolean,
  nowMs: Ms,
): QueueRefusal['reason'] | undefined {
  const { untilMs, isReturn, refusableUntilMs, dueAtMs } = waiting.request;
  if (nowMs >= untilMs) return 'hopeless';
  if (!isBlocked || isReturn || nowMs > refusableUntilMs) return undefined;
  const waitMs = expectedStartMs(queue, waiting, nowMs) - nowMs;
  // Returns and requests of other kinds that arrive later go first; a refusal in time costs less than a late answer.
  const marginMs = Math.min(waitMs, queueRules.maxMarginMs);
  return nowMs + waitMs + marginMs > dueAtMs ? 'late' : undefined;
}
