import type { Epoch, Ms, Revision } from '../../base/index.js';

/** An event for the lease core. An absent answer means that the store call failed. */
export type LeaseEvent =
  /** Periodic tick; `candidate` is true if this entry may plan. */
  | { readonly type: 'tick'; readonly candidate: boolean }
  | {
      readonly type: 'read';
      readonly answer?: { readonly nonce?: string; readonly revision?: Revision };
    }
  | { readonly type: 'granted'; readonly leaseId?: string }
  | {
      readonly type: 'swapped';
      readonly outcome: 'swapped' | 'conflict' | 'unknown' | 'failed';
      readonly revision?: Revision;
    }
  /** Remaining lifetime of the lease; 0 if it has expired; absent if the store did not answer. */
  | { readonly type: 'renewed'; readonly leftMs?: Ms }
  /** A sidecar refused a plan because it has seen this higher epoch. */
  | { readonly type: 'met-epoch'; readonly epoch: Epoch }
  | { readonly type: 'stopped' };
