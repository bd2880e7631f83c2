import { putRow } from './putrow.js';
import type { TicketRow } from './ticketrow.js';
import type { TableState } from './tablestate.js';

const MS_PER_S = 1000;

/** Adds a row and indexes it by the second in which it expires. */
export function addRow(state: TableState, ticket: string, row: TicketRow): TableState {
  const second = Math.floor(row.expiresAtMs / MS_PER_S);
  const together = state.expiries.get(second);
  if (together) (together as string[]).push(ticket);
  else state.expiries.set(second, [ticket]);
  return putRow(state, ticket, row);
}
