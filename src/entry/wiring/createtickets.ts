import type { Context, Directory, Tickets } from '../component/index.js';
import { TicketService } from '../tickets/index.js';

/** The store allows several hundred writes per second, which a few entries share. */
const DEFAULT_WRITES_PER_SECOND = 40;

/** Creates the ticket service of this entry. */
export function createTickets(context: Context, directory: Directory): Tickets {
  const { keyWritesPerSecond = DEFAULT_WRITES_PER_SECOND } = context.settings;
  return new TicketService(context, directory, { writesPerSecond: keyWritesPerSecond });
}
