import type { Failure } from '../base/index.js';

/**
 * Why a call to the store failed. After `store-outcome-unknown` a write may or may not have taken effect:
 * read the key again before another write. After the other types it has not taken effect.
 */
export interface StoreFailure extends Failure {
  readonly type:
    | 'store-unavailable'
    | 'store-outcome-unknown'
    | 'store-rate-limited'
    | 'store-compacted'
    /** The lease that the write names has lapsed or was revoked. */
    | 'store-lease-lapsed'
    /** The store rejected the request, for example because the value is too large. */
    | 'store-refused';
}
