import type { Ms } from '../../base/index.js';

/** The holder's answer to a request for a slot. */
export type SlotAnswer =
  /** One request may be sent now. */
  | { readonly type: 'granted' }
  /** Other requests come first. Asking again before about `inMs` have passed is useless. */
  | { readonly type: 'later'; readonly inMs: Ms }
  /** The upstream has no limit any more. */
  | { readonly type: 'unlimited' }
  | { readonly type: 'not-holder' };
