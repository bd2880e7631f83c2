import type { Incarnation, Ms } from '../../base/index.js';
import type { EngineReport } from '../../port/index.js';
import type { Intent } from '../fence/index.js';
import type { HoldingKey, Ledger } from '../ledger/index.js';
import type { Catalogue, Plan } from '../reconcile/index.js';

/** An event for the residency core. */
export type ResidencyEvent =
  | {
      readonly type: 'document';
      readonly catalogue: Catalogue;
      readonly checksFencing: boolean;
      readonly capacityBytes: number;
      /** Memory reserved for the KV cache in each role. */
      readonly kvCacheReserveBytes: Ledger['kvCacheReserveBytes'];
    }
  /** `poll` is the sequence number of the poll that this report answers. */
  | { readonly type: 'report'; readonly poll: number; readonly report: EngineReport }
  /** The incarnation was taken; `poll` is the last poll sent before that. */
  | {
      readonly type: 'taken';
      readonly poll: number;
      readonly incarnation: Incarnation;
      readonly inherited: readonly Intent[];
    }
  | {
      readonly type: 'recorded';
      readonly intents: readonly Intent[];
      readonly provenAtMs: Ms;
    }
  | { readonly type: 'superseded' }
  | { readonly type: 'store-failing' }
  | {
      readonly type: 'answered';
      readonly orderId: string;
      readonly outcome: 'accepted' | 'unanswered' | 'fenced';
    }
  | { readonly type: 'pin'; readonly model: string; readonly adapter: string }
  | { readonly type: 'unpin'; readonly keys: readonly HoldingKey[] }
  | { readonly type: 'plan'; readonly upstream: string; readonly plan: Plan }
  | {
      readonly type: 'rescue';
      readonly model: string;
      readonly adapter: string;
      /** Models that this upstream may evict: other upstreams hold them. */
      readonly replicas: readonly string[];
    }
  /** The engine does not support reports. */
  | { readonly type: 'unreported' }
  | { readonly type: 'leave' }
  | { readonly type: 'tick' };
