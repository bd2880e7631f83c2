import type { Ms } from '../../base/index.js';
import type { QueueRequest } from './queuerequest.js';
import { queueRules } from './queuerules.js';

/** Returns when a request has to be reviewed next. */
export function nextReviewAtMs(request: QueueRequest, nowMs: Ms): Ms {
  const { isReturn, refusableUntilMs, untilMs } = request;
  const atMs = nowMs + queueRules.reviewMs;
  return isReturn || atMs > refusableUntilMs ? untilMs : Math.min(atMs, untilMs);
}
