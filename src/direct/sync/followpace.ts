import type { Ms } from '../../base/index.js';

/** How a follower asks for changes. */
export interface FollowPace {
  /** How long a question waits for changes. */
  readonly waitMs: Ms;
  /** The pause before the next question: changes that come within it are asked for together. */
  readonly gatherMs: Ms;
}
