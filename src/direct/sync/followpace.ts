import type { Ms } from '../../base/index.js';

/** How a follower polls for changes. */
export interface FollowPace {
  /** How long a request waits for changes (long poll). */
  readonly waitMs: Ms;
  /** Pause before the next request, so that changes arrive in batches. */
  readonly batchMs: Ms;
}
