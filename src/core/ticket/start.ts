import type { Transition, Ms } from '../../base/index.js';
import { refuse } from '../refusal/index.js';
import type { TableEffect } from './tableeffect.js';
import type { TableEvent } from './tableevent.js';
import type { TableState } from './tablestate.js';

type Start = Extract<TableEvent, { type: 'start' }>;

/** Lets a request through to the upstream if its ticket is still valid after the wait for a slot. */
export function start(
  state: TableState,
  { callId, ticket }: Start,
  nowMs: Ms,
): Transition<TableState, TableEffect> {
  const row = state.rows.get(ticket);
  if (row?.phase === 'running' && nowMs < row.expiresAtMs) {
    return { state, effects: [{ type: 'go', callId }] };
  }
  const refusal = refuse(
    'ticket-expired',
    'The ticket expired while the request waited for a slot.',
  );
  return { state, effects: [{ type: 'refuse', callId, refusal }] };
}
