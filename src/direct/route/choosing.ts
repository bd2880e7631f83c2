import type { UpstreamId } from '../../base/index.js';

/** Which upstreams a choice leaves out, and for whom it is made. */
export interface Choosing {
  /** Those that were tried are not chosen again. */
  readonly tried?: ReadonlySet<UpstreamId>;
  /** Those that are lost, as far as this entry knows, may be chosen. */
  readonly alsoLost?: boolean;
  /** The request may end the upstream that it runs on. */
  readonly isTrial?: boolean;
  /** Names the request: a slot may be kept for it. */
  readonly asker?: string;
}
