import type { MeshState } from './meshstate.js';

/** Ends the suspicion of a peer after a message from it. */
export function clearSuspect(state: MeshState, address: string): MeshState {
  if (!state.suspects.has(address)) return state;
  const suspects = new Map(state.suspects);
  suspects.delete(address);
  return { ...state, suspects };
}
