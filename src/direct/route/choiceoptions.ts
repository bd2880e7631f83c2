import type { Ms, UpstreamId } from '../../base/index.js';

/** Options of a choice of upstream. */
export interface ChoiceOptions {
  /** Upstreams that were tried already; they are not chosen again. */
  readonly tried?: ReadonlySet<UpstreamId>;
  /** Whether upstreams that this entry considers lost may be chosen. */
  readonly includesLost?: boolean;
  /** The request is suspected and may crash the upstream that runs it. */
  readonly isTrial?: boolean;
  /**
   * Whether the request could be repeated after a failed probe of an ejected upstream; absent: it is used as none. The
   * upstream may be chosen all the same if there is no other.
   */
  readonly probes?: 'repeatable' | 'unrepeatable';
  /** Identifies the request: a slot may be reserved for it. */
  readonly requestId?: string;
  /** Time left until a first event is late; used for load-aware services, like the following ones. */
  readonly targetMs?: Ms;
  /** True for the most urgent requests and for returning callers, which may exceed the slots of an engine. */
  readonly isUrgent?: boolean;
  /** Hash of the request id, from 0 to 2^32 - 1: spreads requests over upstreams. */
  readonly seed?: number;
}
