import type { Ms } from '../../base/index.js';
import type { MeshState } from './meshstate.js';

/** True if a peer did not answer recently and is avoided until its suspicion ends. */
export function isSuspect(state: MeshState, address: string, nowMs: Ms): boolean {
  return (state.suspects.get(address) ?? nowMs) > nowMs;
}
