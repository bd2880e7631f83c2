import type { Context, Directory, Tickets } from '../part/index.js';
import { RefusingTickets } from '../refusingtickets.js';

/** Run-at-most-once tickets of this entry. */
export function createTickets(_context: Context, _directory: Directory): Tickets {
  return new RefusingTickets();
}
