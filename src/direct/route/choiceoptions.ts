import type { UpstreamId } from '../../base/index.js';

/** Options of a choice of upstream. */
export interface ChoiceOptions {
  /** Upstreams that were tried already; they are not chosen again. */
  readonly tried?: ReadonlySet<UpstreamId>;
  /** Whether upstreams that this entry considers lost may be chosen. */
  readonly includesLost?: boolean;
  /** The request is suspected and may crash the upstream that runs it. */
  readonly isTrial?: boolean;
  /** Identifies the request: a slot may be reserved for it. */
  readonly requestId?: string;
}
