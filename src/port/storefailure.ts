import type { Failure } from '../base/index.js';

/**
 * Why a call to the store gave no answer. After `store-outcome-unknown` a write may or may not have
 * taken effect: read back, never write again blindly. After the other types it did not.
 */
export interface StoreFailure extends Failure {
  readonly type:
    | 'store-unavailable'
    | 'store-outcome-unknown'
    | 'store-rate-limited'
    | 'store-compacted'
    /** The lease that the write names has lapsed or was revoked. */
    | 'store-lease-lapsed'
    /** The store takes no such request, for example because the value is too large. */
    | 'store-refused';
}
