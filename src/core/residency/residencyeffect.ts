import type { Ms } from '../../base/index.js';
import type { Order } from '../../port/index.js';
import type { Intent } from '../fence/index.js';
import type { HoldingKey, OpenOrder } from '../ledger/index.js';
import type { ResidencyFailure } from './residencyfailure.js';

/** What the core of an upstream's memory asks for or tells. */
export type ResidencyEffect =
  | { readonly type: 'order'; readonly order: Order }
  /** The store should hold exactly these intents. */
  | { readonly type: 'intents'; readonly intents: readonly Intent[] }
  | { readonly type: 'pinned'; readonly keys: readonly HoldingKey[] }
  | { readonly type: 'refused'; readonly failure: ResidencyFailure }
  | {
      readonly type: 'plan-answered';
      readonly accepted: boolean;
      /** Highest epoch seen. */
      readonly epoch: number;
      /** With an accepted plan: the part that cannot be done now. */
      readonly failure: ResidencyFailure | undefined;
    }
  | { readonly type: 'rescue-accepted'; readonly estimatedReadyMs: Ms }
  | { readonly type: 'resolved'; readonly open: OpenOrder }
  /** What others may see of this upstream has changed. */
  | { readonly type: 'changed' };
