import type { Ms } from '../../base/index.js';

/** What the holder says to a question for a slot. */
export type SlotAnswer =
  /** One request may be sent now. */
  | { readonly type: 'granted' }
  /** Others come first, for about so long. */
  | { readonly type: 'later'; readonly inMs: Ms }
  /** It knows of no limit any more. */
  | { readonly type: 'unlimited' }
  | { readonly type: 'not-holder' };
