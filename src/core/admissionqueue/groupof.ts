import type { Ms } from '../../base/index.js';
import { queueRules } from './queuerules.js';
import type { QueueRequest } from './queuerequest.js';

const { agingMs, ranksPerPriority } = queueRules;

/** Returns the place of a request's rank and lateness in the order: the least goes first. */
export function groupOf(request: QueueRequest, nowMs: Ms): number {
  const { rank, arrivedAtMs, dueAtMs } = request;
  const steps = Math.max(0, Math.floor((nowMs - arrivedAtMs) / agingMs));
  const agedRank = Math.max(rank % ranksPerPriority, rank - steps * ranksPerPriority);
  return agedRank * 2 + (nowMs > dueAtMs ? 1 : 0);
}
