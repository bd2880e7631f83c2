import type { Ms } from '../../base/index.js';

/** The holder's answer to a request for a slot. */
export type SlotAnswer =
  /** One request may be sent now. */
  | { readonly type: 'granted' }
  /** Other requests come first; asking again is of no use before about `inMs`. */
  | { readonly type: 'later'; readonly inMs: Ms }
  /** The upstream has no limit any more. */
  | { readonly type: 'unlimited' }
  | { readonly type: 'not-holder' };
