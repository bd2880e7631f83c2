import type { Ms, UpstreamId } from '../../base/index.js';

/** What an entry tells another of what an upstream has said of itself. */
export interface StandingNews {
  readonly upstream: UpstreamId;
  /** Names the start that said it; absent where upstreams do not tell. */
  readonly startedAtMs?: Ms;
  /** Requests a second that it takes from all entries; absent without a limit. */
  readonly ratePerS?: number;
  /** How long ago the newest answer came that told of the rate; absent if none has. */
  readonly rateAgeMs?: Ms;
  /** It ends soon and takes no new work. */
  readonly isLeaving?: boolean;
  /** Requests that this entry had sent there in the window before it heard of the limit. */
  readonly sentBefore?: number;
}
