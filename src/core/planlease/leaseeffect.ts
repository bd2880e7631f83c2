import type { Epoch, Ms } from '../../base/index.js';

/** A store operation requested by the lease core, or a change of ownership. */
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
  /** This entry starts or stops planning. */
  | { readonly type: 'took'; readonly epoch: Epoch }
  | { readonly type: 'lost'; readonly epoch: Epoch; readonly reason: 'lapsed' | 'superseded' };
