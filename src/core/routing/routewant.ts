import type { Incarnation, Ms, RequestId, UpstreamId } from '../../base/index.js';
import type { Target } from '../document/index.js';

/** A request that needs an upstream. */
export interface RouteWant {
  readonly requestId: RequestId;
  readonly target: Target;
  /** Hash of the prompt's leading blocks; empty if unknown. */
  readonly prefixHash: string;
  readonly remainingMs: Ms;
  /** Upstreams that have already refused or failed this request. */
  readonly tried: readonly UpstreamId[];
  /** True when those that failed this request are let in again: a retry, though `tried` is empty. */
  readonly again?: boolean;
  /** Set when a ticket binds the request to one upstream. */
  readonly bound?: { readonly upstream: UpstreamId; readonly incarnation: Incarnation };
}
