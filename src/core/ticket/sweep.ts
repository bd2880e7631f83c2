import type { Transition, Ms } from '../../base/index.js';
import { rowBytes } from './rowbytes.js';
import type { TableEffect } from './tableeffect.js';
import type { TableState } from './tablestate.js';

const MS_PER_S = 1000;

/** Drops the tickets that expired in one second. Running ones are kept and checked again at `nowS`. */
function forget(state: TableState, second: number, nowS: number): number {
  const running: string[] = [];
  let freedBytes = 0;
  for (const ticket of state.expiries.get(second) ?? []) {
    const row = state.rows.get(ticket);
    if (!row) continue;
    if (row.phase === 'running') {
      running.push(ticket);
      continue;
    }
    freedBytes += rowBytes(row);
    state.rows.delete(ticket);
    state.bodies.delete(ticket);
  }
  state.expiries.delete(second);
  if (running.length > 0) {
    state.expiries.set(nowS, [...(state.expiries.get(nowS) ?? []), ...running]);
  }
  return freedBytes;
}

/** Drops the tickets whose second of expiry has passed. */
export function sweep(state: TableState, nowMs: Ms): Transition<TableState, TableEffect> {
  const nowS = Math.floor(nowMs / MS_PER_S);
  if (nowS <= state.sweptUntilS) return { state, effects: [] };
  let { usedBytes } = state;
  for (let second = state.sweptUntilS; second < nowS; second += 1) {
    if (state.expiries.has(second)) usedBytes -= forget(state, second, nowS);
  }
  return { state: { ...state, usedBytes, sweptUntilS: nowS }, effects: [] };
}
