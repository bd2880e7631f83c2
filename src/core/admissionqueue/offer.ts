import type { Ms } from '../../base/index.js';
import { advance } from './advance.js';
import { expectedStartMs } from './expectedstartms.js';
import { groupOf } from './groupof.js';
import { lastInOrder } from './lastinorder.js';
import { leave } from './leave.js';
import { nextChangeAtMs } from './nextchangeatms.js';
import { nextReviewAtMs } from './nextreviewatms.js';
import type { QueueRefusal } from './queuerefusal.js';
import type { QueueRequest } from './queuerequest.js';
import { queueRules } from './queuerules.js';
import type { QueueState } from './queuestate.js';
import { refusalOf } from './refusalof.js';
import { refusalReason } from './refusalreason.js';
import { targetQueueOf } from './targetqueueof.js';

/**
 * Adds a request for which there is no free slot, and returns the requests that are refused for it: itself, or the last
 * ones of a full queue. `isBlocked` is true if its target was found without a free slot a moment ago.
 */
export function offer(
  state: QueueState,
  request: QueueRequest,
  isBlocked: boolean,
  nowMs: Ms,
): readonly QueueRefusal[] {
  const draftState = state;
  advance(state, nowMs);
  const queue = targetQueueOf(state, request);
  // The rate of a target without waiting requests is that of a period which begins now.
  queue.rate.begin(nowMs);
  const group = groupOf(request, nowMs);
  const draft = { request, group, isWaiting: true, forecastMs: nowMs };
  const waiting = { ...draft, forecastMs: expectedStartMs(queue, draft, nowMs) };
  const reason = refusalReason(queue, waiting, isBlocked, nowMs);
  if (reason) {
    const refusal = refusalOf(queue, waiting, reason, nowMs);
    if (queue.size === 0) queue.rate.end(nowMs);
    return [refusal];
  }
  queue.insert(waiting, nowMs);
  state.waiting.set(request.id, waiting);
  draftState.sizeBytes += request.sizeBytes;
  const changeAtMs = nextChangeAtMs(request, nowMs);
  if (Number.isFinite(changeAtMs)) state.changes.push(changeAtMs, waiting);
  state.reviews.push(nextReviewAtMs(request, nowMs), waiting);
  const refused: QueueRefusal[] = [];
  const { maxRequests, maxBytes } = queueRules;
  while (state.waiting.size > maxRequests || state.sizeBytes > maxBytes) {
    const last = lastInOrder(state)!;
    refused.push(refusalOf(targetQueueOf(state, last.request), last, 'full', nowMs));
    leave(state, last.request.id, nowMs);
  }
  return refused;
}
