import type { Ms } from '../../base/index.js';
import type { MeshState } from './meshstate.js';

/** Whether a peer has failed lately and is passed by for now. */
export function isSuspect(state: MeshState, address: string, nowMs: Ms): boolean {
  return (state.suspects.get(address) ?? nowMs) > nowMs;
}
