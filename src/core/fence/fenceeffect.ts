import type { Failure, Incarnation, Ms, Revision } from '../../base/index.js';
import type { Intent } from './intent.js';

/** What the hold on an upstream's key asks for or tells. */
export type FenceEffect =
  | { readonly type: 'read-key' }
  | { readonly type: 'swap-key'; readonly expectedRevision: Revision; readonly value: string }
  /** The incarnation is ours; `inherited` are the intents of those before us. */
  | {
      readonly type: 'taken';
      readonly incarnation: Incarnation;
      readonly inherited: readonly Intent[];
    }
  /** The store holds these intents, under our incarnation. */
  | {
      readonly type: 'recorded';
      readonly intents: readonly Intent[];
      /** When the call that proved it was sent: another sidecar may have come since. */
      readonly provenAtMs: Ms;
    }
  | { readonly type: 'superseded'; readonly by: Incarnation }
  /** A call to the store failed, or the key could not be understood; it is tried again. */
  | { readonly type: 'store-failing'; readonly failure: Failure };
