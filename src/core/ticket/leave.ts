import type { Transition } from '../../base/index.js';
import { nextPhase } from './nextphase.js';
import type { TableEffect } from './tableeffect.js';
import type { TableState } from './tablestate.js';

/** Begins a planned stop: cancels unused tickets, which then can never run. Running ones continue. */
export function leave(state: TableState): Transition<TableState, TableEffect> {
  for (const [ticket, row] of state.rows) {
    const phase = nextPhase(row.phase, 'CANCEL');
    if (phase) state.rows.set(ticket, { ...row, phase });
  }
  return { state: { ...state, leaving: true }, effects: [] };
}
