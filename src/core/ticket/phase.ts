/** Where a ticket stands in its life: a state of ticket.chart.json. */
export type Phase = 'issued' | 'running' | 'answered' | 'unknown' | 'cancelled' | 'expired';
