import type { Ms } from '../../base/index.js';
import { advance } from './advance.js';
import { leave } from './leave.js';
import { nextReviewAtMs } from './nextreviewatms.js';
import type { QueueRefusal } from './queuerefusal.js';
import { queueRules } from './queuerules.js';
import type { QueueState } from './queuestate.js';
import { refusalOf } from './refusalof.js';
import { refusalReason } from './refusalreason.js';
import { targetQueueOf } from './targetqueueof.js';

/**
 * Removes and returns the waiting requests that are to be refused now. `isBlocked` returns true for a target that was
 * found without a free slot a moment ago.
 */
export function review(
  state: QueueState,
  isBlocked: (target: string) => boolean,
  nowMs: Ms,
): readonly QueueRefusal[] {
  advance(state, nowMs);
  const refused: QueueRefusal[] = [];
  const { reviews } = state;
  for (let left = queueRules.maxReviewed; left > 0 && reviews.peekKey() <= nowMs; left -= 1) {
    const waiting = reviews.pop()!;
    const { request, isWaiting } = waiting;
    if (!isWaiting) continue;
    const queue = targetQueueOf(state, request);
    const reason = refusalReason(queue, waiting, isBlocked(request.target), nowMs);
    if (reason) {
      refused.push(refusalOf(queue, waiting, reason, nowMs));
      leave(state, request.id, nowMs);
    } else reviews.push(nextReviewAtMs(request, nowMs), waiting);
  }
  for (const [target, queue] of state.targets) {
    if (queue.size === 0 && queue.rate.isForgotten(nowMs)) state.targets.delete(target);
  }
  return refused;
}
