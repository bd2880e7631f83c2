import type { Ms } from '../../base/index.js';
import type { QueueRequest } from './queuerequest.js';

/** A request that the queue refuses. */
export interface QueueRefusal {
  readonly request: QueueRequest;
  /**
   * `late`: a first try that would start too late to be on time; `hopeless`: its deadline allows no answer; `full`: the
   * last request in order of a full queue.
   */
  readonly reason: 'late' | 'hopeless' | 'full';
  /** Number of requests that were expected to start before it. */
  readonly ahead: number;
  readonly expectedStartMs: Ms;
}
