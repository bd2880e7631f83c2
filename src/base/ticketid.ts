import type { Brand } from './brand.js';

/** Identifies a ticket, under which a request runs at most once. */
export type TicketId = Brand<string, 'TicketId'>;
