import type { Context, Directory, Tickets } from '../part/index.js';
import { TicketDesk } from '../tickets/index.js';

/** Several hundred writes a second of the store, shared by a few entries. */
const WRITES_PER_SECOND = 40;

/** Run-at-most-once tickets of this entry. */
export function createTickets(context: Context, directory: Directory): Tickets {
  const { keyWritesPerSecond = WRITES_PER_SECOND } = context.settings;
  return new TicketDesk(context, directory, { writesPerSecond: keyWritesPerSecond });
}
