import type { Ms } from '../../base/index.js';
import type { QueueRefusal, QueueRequest } from '../../core/admissionqueue/index.js';
import type { Target } from '../route/index.js';

/** A run that may wait in the queue of its entry. */
export interface Waiter {
  readonly request: QueueRequest;
  readonly target: Target;
  readonly deadlineAtMs: Ms;
  /** Tries to send the request; calls `Waitline.wait` if there is no free slot for it. */
  attempt(): void;
  /** Refuses the request, which has left the queue. */
  refuse(reason: QueueRefusal['reason'], retryAfterMs: Ms): void;
}
