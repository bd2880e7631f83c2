/** Run at most once at an entry: finds the one sidecar that may run a request with a ticket or a key. */
export { TicketDesk } from './ticketdesk.js';
