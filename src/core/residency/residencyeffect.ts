import type { Ms } from '../../base/index.js';
import type { Order } from '../../port/index.js';
import type { Intent } from '../fence/index.js';
import type { HoldingKey, OpenOrder } from '../ledger/index.js';
import type { ResidencyFailure } from './residencyfailure.js';

/** An effect of the residency core: a command to the shell or a reply. */
export type ResidencyEffect =
  | { readonly type: 'order'; readonly order: Order }
  /** The store should hold exactly these intents. */
  | { readonly type: 'intents'; readonly intents: readonly Intent[] }
  | { readonly type: 'pinned'; readonly keys: readonly HoldingKey[] }
  | { readonly type: 'refused'; readonly failure: ResidencyFailure }
  | {
      readonly type: 'plan-answered';
      readonly accepted: boolean;
      /** Epoch of the plan in force. */
      readonly epoch: number;
      /** The reason for a refusal; with an accepted plan, the part that cannot be carried out now. */
      readonly failure: ResidencyFailure | undefined;
    }
  | { readonly type: 'rescue-accepted'; readonly estimatedReadyMs: Ms }
  | { readonly type: 'resolved'; readonly open: OpenOrder }
  /** The published state of this upstream has changed. */
  | { readonly type: 'changed' };
