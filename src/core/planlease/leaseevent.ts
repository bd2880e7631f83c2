import type { Epoch, Ms, Revision } from '../../base/index.js';

/** What the lease core is told. An absent answer means that the store failed. */
export type LeaseEvent =
  /** Time has passed; `candidate` says whether this entry may plan. */
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
  /** Remaining life of the lease; 0 if it has lapsed; absent if the store did not answer. */
  | { readonly type: 'renewed'; readonly leftMs?: Ms }
  /** A sidecar has refused a plan because it had seen this higher epoch. */
  | { readonly type: 'met-epoch'; readonly epoch: Epoch }
  | { readonly type: 'stopped' };
