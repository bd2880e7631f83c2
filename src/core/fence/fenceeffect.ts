import type { Failure, Incarnation, Ms, Revision } from '../../base/index.js';
import type { Intent } from './intent.js';

/** Store calls and notifications of the fence. */
export type FenceEffect =
  | { readonly type: 'read-key' }
  | { readonly type: 'swap-key'; readonly expectedRevision: Revision; readonly value: string }
  /** This process holds the incarnation; `inherited` are the intents of earlier incarnations. */
  | {
      readonly type: 'taken';
      readonly incarnation: Incarnation;
      readonly inherited: readonly Intent[];
    }
  /** The store holds these intents under our incarnation. */
  | {
      readonly type: 'recorded';
      readonly intents: readonly Intent[];
      /** When the call that proved it was sent; another sidecar may have taken the key since. */
      readonly provenAtMs: Ms;
    }
  | { readonly type: 'superseded'; readonly by: Incarnation }
  /** A store call failed or the key's value is damaged; the fence retries. */
  | { readonly type: 'store-failing'; readonly failure: Failure };
