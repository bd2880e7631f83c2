import type { TicketRow } from './ticketrow.js';
import { rowBytes } from './rowbytes.js';
import type { TableState } from './tablestate.js';

/** Replaces one row and updates the memory accounting. */
export function putRow(state: TableState, ticket: string, row: TicketRow): TableState {
  const before = state.rows.get(ticket);
  const usedBytes = state.usedBytes + rowBytes(row) - (before ? rowBytes(before) : 0);
  state.rows.set(ticket, row);
  if (row.answer) state.bodies.add(ticket);
  else state.bodies.delete(ticket);
  return { ...state, usedBytes };
}
