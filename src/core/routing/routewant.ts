import type { Incarnation, Ms, RequestId, UpstreamId } from '../../base/index.js';
import type { Target } from '../document/index.js';

/** A request that needs an upstream. */
export interface RouteWant {
  readonly requestId: RequestId;
  readonly target: Target;
  /** Hash of the leading blocks of the prompt; empty if unknown. */
  readonly prefixHash: string;
  readonly remainingMs: Ms;
  /** Upstreams that have already refused or failed this request. */
  readonly tried: readonly UpstreamId[];
  /** True if upstreams that failed this request may be tried again: it is a retry, though `tried` is empty. */
  readonly again?: boolean;
  /** Set when a ticket binds the request to one upstream. */
  readonly bound?: { readonly upstream: UpstreamId; readonly incarnation: Incarnation };
}
