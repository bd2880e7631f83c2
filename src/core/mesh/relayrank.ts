import type { Ms } from '../../base/index.js';
import { isSuspect } from './issuspect.js';
import type { MeshState } from './meshstate.js';

/** Counts the entries before this process in relay order, leaving out suspected ones. */
export function relayRank(state: MeshState, nowMs: Ms): number {
  let rank = 0;
  for (const { id, address } of state.entries) {
    if (id === state.self.id) return rank;
    if (!isSuspect(state, address, nowMs)) rank += 1;
  }
  return rank;
}
