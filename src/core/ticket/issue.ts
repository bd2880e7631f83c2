import type { Transition, Ms } from '../../base/index.js';
import { refuse } from '../refusal/index.js';
import { addRow } from './addrow.js';
import { makeRoom } from './makeroom.js';
import { msUntilRoom } from './msuntilroom.js';
import type { TicketRow } from './ticketrow.js';
import { rowBytes } from './rowbytes.js';
import { sweep } from './sweep.js';
import type { TableEffect } from './tableeffect.js';
import type { TableEvent } from './tableevent.js';
import type { TableState } from './tablestate.js';
import { ticketName } from './ticketname.js';

type Issue = Extract<TableEvent, { type: 'issue' }>;

function refused(
  state: TableState,
  callId: string,
  type: string,
  detail: string,
  retryAfterMs: Ms,
): Transition<TableState, TableEffect> {
  const refusal = refuse(type, detail, { retryAfterMs });
  return { state, effects: [{ type: 'refuse', callId, refusal }] };
}

/** Issues a ticket unless the table is full or the sidecar is leaving. */
export function issue(
  given: TableState,
  { callId, customer, service, validMs, secret }: Issue,
  nowMs: Ms,
): Transition<TableState, TableEffect> {
  if (given.leaving) return refused(given, callId, 'upstream-leaving', 'Upstream is draining.', 0);
  const { maxValidMs, tableBytes } = given.limits;
  const validityMs = validMs > 0 ? Math.min(validMs, maxValidMs) : maxValidMs;
  const row: TicketRow = {
    customer,
    service,
    phase: 'issued',
    expiresAtMs: nowMs + validityMs,
    requestHash: '',
    waiting: [],
  };
  const state = makeRoom(sweep(given, nowMs).state, rowBytes(row));
  if (state.usedBytes + rowBytes(row) > tableBytes) {
    const detail = 'The ticket table is full.';
    return refused(state, callId, 'ticket-table-full', detail, msUntilRoom(state, nowMs));
  }
  const { upstream, incarnation } = state;
  const ticket = ticketName.write({ upstream, incarnation, secret });
  const reply = { ticket, incarnation, validMs: validityMs, refusal: undefined };
  const effects = [{ type: 'issued', callId, reply } as const];
  return { state: addRow(state, ticket, row), effects };
}
