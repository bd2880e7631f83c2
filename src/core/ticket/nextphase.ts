import { chartTransition } from '../chart/index.js';
import type { TicketPhase } from './ticketphase.js';
import chart from './ticket.chart.json' with { type: 'json' };

const step = chartTransition<TicketPhase, string>(chart);

/** Returns the phase that an event leads to; undefined if the chart has no such transition. */
export function nextPhase(
  phase: TicketPhase,
  event: 'BEGIN' | 'RETURN' | 'ANSWER' | 'BREAK' | 'CANCEL' | 'EXPIRE',
): TicketPhase | undefined {
  const next = step(phase, event);
  return next === phase ? undefined : next;
}
