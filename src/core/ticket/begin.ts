import type { Transition, Ms } from '../../base/index.js';
import { Executed, type Refusal } from '../../wire/index.js';
import { refuse } from '../refusal/index.js';
import { nextPhase } from './nextphase.js';
import { putRow } from './putrow.js';
import type { TicketRow } from './ticketrow.js';
import type { TableEffect } from './tableeffect.js';
import type { TableEvent } from './tableevent.js';
import type { TableState } from './tablestate.js';
import { ticketName } from './ticketname.js';
import { verdict } from './verdict.js';

type Begin = Extract<TableEvent, { type: 'begin' }>;

const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** Refuses a ticket without a row. It may have run before it was dropped, or at another incarnation. */
function missing(state: TableState, ticket: string): Refusal {
  const name = ticketName.read(ticket);
  if (!name) return refuse('ticket-malformed', 'The ticket is malformed.');
  const isOwn = name.upstream === state.upstream && name.incarnation === state.incarnation;
  if (isOwn || state.origins.has(`${name.upstream}.${name.incarnation}`)) {
    return refuse('ticket-forgotten', 'The ticket has expired or was never issued.', UNKNOWN);
  }
  const detail = 'The sidecar that issued the ticket is gone, and its ticket table is lost.';
  return refuse('ticket-incarnation-gone', detail, UNKNOWN);
}

/** Refuses a call that may not use this ticket. The refusal is about the call's own request only. */
function refuseMisuse(
  row: TicketRow,
  { customer, service, requestHash }: Begin,
): Refusal | undefined {
  if (row.customer !== customer || row.service !== service) {
    return refuse('ticket-not-yours', 'The ticket belongs to another customer or service.');
  }
  if (row.requestHash && row.requestHash !== requestHash) {
    return refuse('ticket-mismatch', 'The ticket was used for a different request.');
  }
  return undefined;
}

/** Handles a request under a ticket: lets it run, replays the recorded outcome, or waits for the running call. */
export function begin(
  state: TableState,
  event: Begin,
  nowMs: Ms,
): Transition<TableState, TableEffect> {
  const { callId, ticket, requestHash } = event;
  const row = state.rows.get(ticket);
  const refusal = row ? refuseMisuse(row, event) : missing(state, ticket);
  if (!row || refusal) {
    return { state, effects: refusal ? [{ type: 'refuse', callId, refusal }] : [] };
  }
  if (row.phase === 'running') {
    const waiting = [...row.waiting, callId];
    return { state: putRow(state, ticket, { ...row, waiting }), effects: [] };
  }
  const isOver = nowMs >= row.expiresAtMs;
  const phase = nextPhase(row.phase, isOver ? 'EXPIRE' : 'BEGIN') ?? row.phase;
  const changed = { ...row, phase, requestHash };
  const next = phase === row.phase ? state : putRow(state, ticket, changed);
  return {
    state: next,
    effects: [verdict(callId, changed) ?? { type: 'run', callId, ticket }],
  };
}
