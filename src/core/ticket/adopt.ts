import type { Transition, CustomerId, Ms, ServiceId } from '../../base/index.js';
import type { TicketEntry } from '../../wire/index.js';
import { refuse } from '../refusal/index.js';
import { addRow } from './addrow.js';
import { makeRoom } from './makeroom.js';
import type { TicketPhase } from './ticketphase.js';
import type { TicketRow } from './ticketrow.js';
import { rowBytes } from './rowbytes.js';
import { sweep } from './sweep.js';
import type { TableEffect } from './tableeffect.js';
import type { TableEvent } from './tableevent.js';
import type { TableState } from './tablestate.js';

type Adopt = Extract<TableEvent, { type: 'adopt' }>;

/** Phases that can be taken over. Only ended tickets have one; any other ticket becomes `unknown`. */
const PHASES: Readonly<Record<string, TicketPhase>> = {
  answered: 'answered',
  cancelled: 'cancelled',
  expired: 'expired',
};

function rowOf(entry: TicketEntry, nowMs: Ms): TicketRow {
  const phase = PHASES[entry.phase] ?? 'unknown';
  const { status, headers, body, pieceBytes } = entry;
  const isHeld = phase === 'answered' && !entry.bodyDropped;
  return {
    customer: entry.customer as CustomerId,
    service: entry.service as ServiceId,
    phase,
    expiresAtMs: nowMs + entry.remainingMs,
    requestHash: entry.requestHash,
    waiting: [],
    answer: isHeld ? { status, headers, body, pieceBytes } : undefined,
  };
}

/** Takes over the tickets of a peer that stops. Rows that this table already holds stay unchanged. */
export function adopt(
  given: TableState,
  { callId, upstream, incarnation, table }: Adopt,
  nowMs: Ms,
): Transition<TableState, TableEffect> {
  if (given.leaving) {
    const refusal = refuse('upstream-leaving', 'Upstream is draining.');
    return { state: given, effects: [{ type: 'refuse', callId, refusal }] };
  }
  let { state } = sweep(given, nowMs);
  const newEntries = table.entries.filter(({ ticket }) => !state.rows.has(ticket));
  const rows = newEntries.map((entry) => ({ ticket: entry.ticket, row: rowOf(entry, nowMs) }));
  let leastBytes = 0;
  for (const { row } of rows) leastBytes += rowBytes({ ...row, answer: undefined });
  state = makeRoom(state, leastBytes);
  if (state.usedBytes + leastBytes > state.limits.tableBytes) {
    const refusal = refuse('ticket-table-full', 'The ticket table is full.');
    return { state, effects: [{ type: 'refuse', callId, refusal }] };
  }
  for (const { ticket, row } of rows) {
    const fits = state.usedBytes + rowBytes(row) <= state.limits.tableBytes;
    state = addRow(state, ticket, fits ? row : { ...row, answer: undefined });
  }
  const origins = new Map(state.origins).set(`${upstream}.${incarnation}`, table.hops);
  const effects = [{ type: 'adopted', callId, takenCount: rows.length } as const];
  return { state: { ...state, origins }, effects };
}
