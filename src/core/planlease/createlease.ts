import type { Epoch } from '../../base/index.js';
import type { LeaseState } from './leasestate.js';

const NO_EPOCH = 0 as Epoch;

/** Returns the initial state: this entry does not hold the lease. */
export function createLease(key: string, nonce: string): LeaseState {
  return {
    key,
    nonce,
    phase: 'watching',
    leaseId: '',
    epoch: NO_EPOCH,
    metEpoch: NO_EPOCH,
    dueAtMs: 0,
  };
}
