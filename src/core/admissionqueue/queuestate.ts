import { Heap } from '../admission/index.js';
import type { CustomerUsage } from './customerusage.js';
import type { TargetQueue } from './targetqueue.js';
import type { Waiting } from './waiting.js';

/** The queue of an entry. It is changed in place: it may hold thousands of requests and changes with each of them. */
export interface QueueState {
  readonly waiting: Map<string, Waiting>;
  readonly targets: Map<string, TargetQueue>;
  /** Usage by service. */
  readonly usage: Map<string, CustomerUsage>;
  /** Requests by the time at which they change their group. */
  readonly changes: Heap<Waiting>;
  /** Requests by the time at which they have to be reviewed. */
  readonly reviews: Heap<Waiting>;
  sizeBytes: number;
}
