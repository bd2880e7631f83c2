import type { Ms } from '../../base/index.js';
import { advance } from './advance.js';
import { groupOf } from './groupof.js';
import type { QueueRequest } from './queuerequest.js';
import type { QueueState } from './queuestate.js';

/** Returns true if a request that is sent now would overtake a waiting request of its target. */
export function wouldOvertake(state: QueueState, request: QueueRequest, nowMs: Ms): boolean {
  const queue = state.targets.get(request.target);
  if (!queue || queue.size === 0) return false;
  advance(state, nowMs);
  const group = groupOf(request, nowMs);
  return !queue.wouldBeFirst({ request, group, isWaiting: false, forecastMs: nowMs });
}
