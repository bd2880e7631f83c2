import type { Ms, UpstreamId } from '../../base/index.js';

/** The order lease holder's answer to an entry that knows no upstream for a target. */
export type FindAnswer =
  | { readonly type: 'ready'; readonly upstream: UpstreamId }
  /** Worth asking again after `inMs`; an exact time if a load is in progress. */
  | { readonly type: 'later'; readonly inMs: Ms; readonly isUnderWay: boolean }
  /** The entry that was asked does not hold the order lease. */
  | { readonly type: 'not-holder' };
