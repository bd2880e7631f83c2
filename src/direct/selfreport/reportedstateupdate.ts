import type { Ms, UpstreamId } from '../../base/index.js';

/** The part of an upstream's reported state that an entry sends to another one. */
export interface ReportedStateUpdate {
  readonly upstream: UpstreamId;
  /** Identifies the incarnation that reported it; absent where upstreams do not report their start. */
  readonly startedAtMs?: Ms;
  /** Requests per second that it accepts from all entries together; absent without a limit. */
  readonly ratePerS?: number;
  /** Age of the newest answer that could name a rate; absent if there was none. */
  readonly rateAgeMs?: Ms;
  /** It is about to end and accepts no new work. */
  readonly isLeaving?: boolean;
  /** Requests that this entry had sent there in the window before it learned of the limit. */
  readonly sentBefore?: number;
}
