import { RefusingTickets } from '../refusingtickets.js';
import type { Context, RunOnce } from '../part/index.js';

/** Run-at-most-once table of this sidecar. */
export function createRunOnce(_context: Context): RunOnce {
  return new RefusingTickets();
}
