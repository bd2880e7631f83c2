import type { Ms } from '../../base/index.js';

/** A wait for a slot at an upstream with a rate limit. */
export interface SlotWaiter {
  /**
   * The request that waits; at most one slot request for it is outstanding. Absent if the slot is for any next request.
   */
  readonly requestId?: string;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  /** How long the request can wait. */
  readonly waitMs: Ms;
}
