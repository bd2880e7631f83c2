import type { Brand } from './brand.js';

/** A run-at-most-once ticket. */
export type TicketId = Brand<string, 'TicketId'>;
