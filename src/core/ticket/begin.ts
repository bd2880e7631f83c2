import type { Change, Ms } from '../../base/index.js';
import { Executed, type Refusal } from '../../wire/index.js';
import { refuse } from '../refusal/index.js';
import { nextPhase } from './nextphase.js';
import { putRow } from './putrow.js';
import type { Row } from './row.js';
import type { TableEffect } from './tableeffect.js';
import type { TableEvent } from './tableevent.js';
import type { TableState } from './tablestate.js';
import { ticketName } from './ticketname.js';
import { verdict } from './verdict.js';

type Begin = Extract<TableEvent, { type: 'begin' }>;

const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** For a ticket without a row: it may have run before it was forgotten, or at another incarnation. */
function missing(state: TableState, ticket: string): Refusal {
  const name = ticketName.read(ticket);
  if (!name) return refuse('ticket-malformed', 'This is no ticket.');
  const isOwn = name.upstream === state.upstream && name.incarnation === state.incarnation;
  if (isOwn || state.origins.has(`${name.upstream}.${name.incarnation}`)) {
    return refuse('ticket-forgotten', 'The ticket has expired, or was never issued.', UNKNOWN);
  }
  const detail = 'The sidecar that issued the ticket is gone, and its table with it.';
  return refuse('ticket-incarnation-gone', detail, UNKNOWN);
}

/** Why a call may not use a ticket that the table holds. It speaks of this call's request alone. */
function unfit(row: Row, { customer, service, requestHash }: Begin): Refusal | undefined {
  if (row.customer !== customer || row.service !== service) {
    return refuse('ticket-not-yours', 'The ticket belongs to another customer or service.');
  }
  if (row.requestHash && row.requestHash !== requestHash) {
    return refuse('ticket-mismatch', 'The ticket was used for a different request.');
  }
  return undefined;
}

/** Takes up a request under a ticket: lets it run, answers it from the record, or makes it wait. */
export function begin(state: TableState, event: Begin, nowMs: Ms): Change<TableState, TableEffect> {
  const { callId, ticket, requestHash } = event;
  const row = state.rows.get(ticket);
  const refusal = row ? unfit(row, event) : missing(state, ticket);
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
  return { state: next, effects: [verdict(callId, changed) ?? { type: 'run', callId, ticket }] };
}
