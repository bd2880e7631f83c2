import type { Change, Ms } from '../../base/index.js';
import { makeRoom } from './makeroom.js';
import { nextPhase } from './nextphase.js';
import { putRow } from './putrow.js';
import type { Row } from './row.js';
import { rowBytes } from './rowbytes.js';
import type { TableEffect } from './tableeffect.js';
import type { TableEvent } from './tableevent.js';
import type { TableState } from './tablestate.js';
import { verdict } from './verdict.js';

type Finish = Extract<TableEvent, { type: 'finish' }>;

const EVENTS = { answered: 'ANSWER', unknown: 'BREAK', none: 'RETURN' } as const;

/** An ended row: one that was returned cannot be used again once it is late or its sidecar leaves. */
function settled(state: TableState, row: Row, nowMs: Ms): Row {
  if (row.phase !== 'issued') return row;
  if (nowMs >= row.expiresAtMs) {
    return { ...row, phase: nextPhase(row.phase, 'EXPIRE') ?? row.phase };
  }
  if (state.leaving) return { ...row, phase: nextPhase(row.phase, 'CANCEL') ?? row.phase };
  return row;
}

/** Keeps the outcome, and the answer too if it is not too large and older ones can make room. */
function keep(state: TableState, ticket: string, row: Row, extraBytes: number): TableState {
  const { answerBytes, tableBytes } = state.limits;
  const bare = { ...row, answer: undefined };
  if (rowBytes(row) > answerBytes) return putRow(state, ticket, bare);
  const roomy = makeRoom(state, extraBytes);
  const fits = roomy.usedBytes + extraBytes <= tableBytes;
  return putRow(roomy, ticket, fits ? row : bare);
}

/** Records how a run ended, and answers those who waited for it. */
export function finish(
  state: TableState,
  { ticket, end }: Finish,
  nowMs: Ms,
): Change<TableState, TableEffect> {
  const row = state.rows.get(ticket);
  const phase = row && nextPhase(row.phase, EVENTS[end.type]);
  if (!row || !phase) return { state, effects: [] };
  const answer = end.type === 'answered' ? end.answer : undefined;
  const ended = settled(state, { ...row, phase, answer, waiting: [] }, nowMs);
  const effects = row.waiting
    .map((callId) => verdict(callId, ended))
    .filter((effect) => effect !== undefined);
  return { state: keep(state, ticket, ended, rowBytes(ended) - rowBytes(row)), effects };
}
