import type { Ms, UpstreamId } from '../../base/index.js';

/** What the holder of orders says to an entry that found no upstream for a need. */
export type FoundNeed =
  | { readonly type: 'ready'; readonly upstream: UpstreamId }
  /** It is worth asking again after this; exact where a load is under way. */
  | { readonly type: 'later'; readonly inMs: Ms; readonly isUnderWay: boolean }
  /** Whoever was asked gives no orders. */
  | { readonly type: 'not-holder' };
