import type { TraitId, UpstreamId } from '../../base/index.js';

/** Traits that are found to be the cause of crashes. */
export interface Conviction {
  /**
   * The trait and its companions that the crashes do not distinguish from it: requests with all of them crash their
   * upstreams, while one with some of them may not.
   */
  readonly traits: ReadonlySet<TraitId>;
  /** The upstreams that crashed under them. */
  readonly upstreams: ReadonlySet<UpstreamId>;
}
