import type { Transition, Ms } from '../../base/index.js';
import { makeRoom } from './makeroom.js';
import { nextPhase } from './nextphase.js';
import { putRow } from './putrow.js';
import type { TicketRow } from './ticketrow.js';
import { rowBytes } from './rowbytes.js';
import type { TableEffect } from './tableeffect.js';
import type { TableEvent } from './tableevent.js';
import type { TableState } from './tablestate.js';
import { verdict } from './verdict.js';

type Finish = Extract<TableEvent, { type: 'finish' }>;

const EVENTS = { answered: 'ANSWER', unknown: 'BREAK', none: 'RETURN' } as const;

/** Returns the row after a run. A ticket whose run sent nothing stays usable unless expired or leaving. */
function settled(state: TableState, row: TicketRow, nowMs: Ms): TicketRow {
  if (row.phase !== 'issued') return row;
  if (nowMs >= row.expiresAtMs) {
    return { ...row, phase: nextPhase(row.phase, 'EXPIRE') ?? row.phase };
  }
  if (state.leaving) return { ...row, phase: nextPhase(row.phase, 'CANCEL') ?? row.phase };
  return row;
}

/** Stores the outcome, and the answer unless it is too large or does not fit after dropping older ones. */
function storeOutcome(
  state: TableState,
  ticket: string,
  row: TicketRow,
  extraBytes: number,
): TableState {
  const { answerBytes, tableBytes } = state.limits;
  const bare = { ...row, answer: undefined };
  if (rowBytes(row) > answerBytes) return putRow(state, ticket, bare);
  const roomy = makeRoom(state, extraBytes);
  const fits = roomy.usedBytes + extraBytes <= tableBytes;
  return putRow(roomy, ticket, fits ? row : bare);
}

/** Records how a run ended and answers the calls that waited for it. */
export function finish(
  state: TableState,
  { ticket, end }: Finish,
  nowMs: Ms,
): Transition<TableState, TableEffect> {
  const row = state.rows.get(ticket);
  const phase = row && nextPhase(row.phase, EVENTS[end.type]);
  if (!row || !phase) return { state, effects: [] };
  const answer = end.type === 'answered' ? end.answer : undefined;
  const ended = settled(state, { ...row, phase, answer, waiting: [] }, nowMs);
  const effects = row.waiting
    .map((callId) => verdict(callId, ended))
    .filter((effect) => effect !== undefined);
  return { state: storeOutcome(state, ticket, ended, rowBytes(ended) - rowBytes(row)), effects };
}
