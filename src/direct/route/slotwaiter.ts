import type { Ms } from '../../base/index.js';

/** Who waits for a slot at an upstream with a rate limit. */
export interface SlotWaiter {
  /** The request, for which the holder is asked once at a time. Absent if the slot is for any next request. */
  readonly requestId?: string;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  /** How long the request can wait. */
  readonly waitMs: Ms;
}
