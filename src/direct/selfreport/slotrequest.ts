import type { Ms } from '../../base/index.js';
import type { ReportedStateUpdate } from './reportedstateupdate.js';

/** Asks the holder for a slot: permission to send one request to an upstream with a rate limit. */
export interface SlotRequest {
  readonly entry: string;
  /** Names the upstream, and carries its limit for a holder that does not know it yet. */
  readonly news: ReportedStateUpdate;
  /** Urgency of the request that waits for the slot: 0 is the most urgent. */
  readonly rank: number;
  /** How long the request can wait for the answer. */
  readonly waitMs: Ms;
}
