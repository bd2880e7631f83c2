/** At-most-once execution at an entry: finds the only sidecar that may run a request with a ticket or an idempotency key. */
export { TicketService } from './ticketservice.js';
