import type { Ms } from '../../base/index.js';
import type { StandingNews } from './standingnews.js';

/** Asks the holder for a moment at which a request may be sent to an upstream with a limit. */
export interface SlotQuestion {
  readonly entry: string;
  /** Names the upstream, and tells a holder that has not heard of its limit yet. */
  readonly news: StandingNews;
  /** Urgency of the request that waits for it: 0 is the most urgent. */
  readonly rank: number;
  /** How long the answer is of use. */
  readonly waitMs: Ms;
}
