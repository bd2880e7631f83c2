import type { Epoch, Ms } from '../../base/index.js';

/** One entry's state in the election of the planner of a service's region. */
export interface LeaseState {
  readonly phase: 'watching' | 'granting' | 'swapping' | 'reading-back' | 'holding';
  readonly key: string;
  /** Identifies this process in the key's value, so that a write whose answer was lost can be verified by reading. */
  readonly nonce: string;
  readonly leaseId: string;
  /** Store revision at which the key was taken: it increases with every holder. */
  readonly epoch: Epoch;
  /** Highest epoch reported by a sidecar. */
  readonly metEpoch: Epoch;
  /** Time of the next store call. */
  readonly dueAtMs: Ms;
}
