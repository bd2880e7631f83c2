import type { Ms } from '../../base/index.js';
import type { QueueRequest } from './queuerequest.js';

/** A request in the queue. */
export interface Waiting {
  readonly request: QueueRequest;
  /** Group that it is in now; see `groupOf`. */
  group: number;
  /** False once it has left. */
  isWaiting: boolean;
  /** When it was expected to start, as of its arrival in the queue. */
  readonly forecastMs: Ms;
}
