import type { Ms, ServiceId } from '../../base/index.js';

/** Whether and how requests of a route may be retried. */
type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A rule that maps requests of a host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time until the caller has a final answer. */
  readonly timeoutMs: Ms;
  /** An answer, or the first event of a stream, is on time within this latency. */
  readonly targetLatencyMs: Ms;
  /** A stream is late if the gap between two events is longer. */
  readonly gapTargetMs: Ms;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** One service, or several with their weights. */
  readonly destinations: readonly { readonly service: ServiceId; readonly weight: number }[];
  /** Maximum number of upstreams that may run one request. */
  readonly maxAttempts: number;
  /** True if callers need no key. */
  readonly isPublic: boolean;
  /** True if an interrupted stream may be continued at another upstream. */
  readonly isResumable: boolean;
}
