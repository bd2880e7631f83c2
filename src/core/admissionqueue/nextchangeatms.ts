import type { Ms } from '../../base/index.js';
import { queueRules } from './queuerules.js';
import type { QueueRequest } from './queuerequest.js';

const { agingMs, ranksPerPriority } = queueRules;

/** Returns when a request next changes its group: it ages, or can no longer be on time. Infinity if it never does. */
export function nextChangeAtMs({ rank, arrivedAtMs, dueAtMs }: QueueRequest, nowMs: Ms): Ms {
  const steps = Math.max(0, Math.floor((nowMs - arrivedAtMs) / agingMs));
  const isFirst = rank - steps * ranksPerPriority < ranksPerPriority;
  const agesAtMs = isFirst ? Infinity : arrivedAtMs + (steps + 1) * agingMs;
  // A request counts as late from the first moment after `dueAtMs` on.
  const lateAtMs = nowMs > dueAtMs ? Infinity : dueAtMs + 1;
  // A rounded sum may lie before `nowMs`; a change in the past would be examined again and again.
  return Math.max(nowMs + 1, Math.min(agesAtMs, lateAtMs));
}
