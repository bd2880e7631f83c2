import { putRow } from './putrow.js';
import type { TableState } from './tablestate.js';

/** Drops the oldest recorded answers until `extraBytes` more fit. Outcomes are kept. */
export function makeRoom(state: TableState, extraBytes: number): TableState {
  let next = state;
  for (const ticket of state.bodies) {
    if (next.usedBytes + extraBytes <= state.limits.tableBytes) break;
    const row = state.rows.get(ticket);
    if (row) next = putRow(next, ticket, { ...row, answer: undefined });
  }
  return next;
}
