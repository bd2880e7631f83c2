import type { Incarnation, RequestId, UpstreamId } from '../../base/index.js';
import type { Target } from '../../core/document/index.js';

/** A request that needs an upstream for its next attempt. */
export interface RouteRequest {
  readonly requestId: RequestId;
  readonly target: Target;
  readonly prefixHash: string;
  readonly remainingMs: number;
  /** Upstreams that have already refused or failed this request. */
  readonly tried: readonly UpstreamId[];
  /** True if upstreams that failed this request are eligible again: it is a retry, although `tried` is empty. */
  readonly again?: boolean;
  /** Set when a ticket binds the request to one upstream. */
  readonly bound?: { readonly upstream: UpstreamId; readonly incarnation: Incarnation };
}
