/** Phase of a ticket: a state of ticket.chart.json. */
export type TicketPhase = 'issued' | 'running' | 'answered' | 'unknown' | 'cancelled' | 'expired';
