import type { Epoch, Ms } from '../../base/index.js';

/** What the lease core asks of the store. */
export type LeaseEffect =
  | { readonly type: 'read'; readonly key: string }
  | { readonly type: 'grant'; readonly ttlMs: Ms }
  | {
      readonly type: 'swap';
      readonly key: string;
      readonly nonce: string;
      readonly leaseId: string;
    }
  | { readonly type: 'renew'; readonly leaseId: string }
  | { readonly type: 'revoke'; readonly leaseId: string }
  /** Planning begins or ends. */
  | { readonly type: 'took'; readonly epoch: Epoch }
  | { readonly type: 'lost'; readonly epoch: Epoch; readonly reason: 'lapsed' | 'superseded' };
