import type { Ms, ServiceId } from '../../base/index.js';

/** How a request of a route may be repeated. */
type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A rule that sends requests of a host and path to a service. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller is kept waiting for a final answer. */
  readonly timeoutMs: Ms;
  /** An answer (or a stream's first event) within this time is worth its full credit. */
  readonly targetLatencyMs: Ms;
  /** A stream with a longer pause between events is late. */
  readonly gapTargetMs: Ms;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** One service, or several with their weights. */
  readonly destinations: readonly { readonly service: ServiceId; readonly weight: number }[];
  /** Most upstreams that may run one request. */
  readonly maxAttempts: number;
  /** True if callers need no key. */
  readonly isPublic: boolean;
  /** True if a broken stream may be continued at another upstream. */
  readonly isResumable: boolean;
}
