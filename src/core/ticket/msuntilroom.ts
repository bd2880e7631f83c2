import type { Ms } from '../../base/index.js';
import type { TableState } from './tablestate.js';

const MS_PER_S = 1000;

/** Returns the time until the next ticket expires and frees memory; 0 if no ticket is held. */
export function msUntilRoom(state: TableState, nowMs: Ms): Ms {
  if (state.expiries.size === 0) return 0;
  let earliestS = Infinity;
  for (const second of state.expiries.keys()) earliestS = Math.min(earliestS, second);
  return Math.max(1, (earliestS + 1) * MS_PER_S - nowMs);
}
