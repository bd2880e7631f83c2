import type { MeshState } from './meshstate.js';

/** A peer that has been heard of is suspected no longer. */
export function clearSuspect(state: MeshState, address: string): MeshState {
  if (!state.suspects.has(address)) return state;
  const suspects = new Map(state.suspects);
  suspects.delete(address);
  return { ...state, suspects };
}
