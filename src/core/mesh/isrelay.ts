import type { Ms } from '../../base/index.js';
import type { MeshState } from './meshstate.js';
import { relayRank } from './relayrank.js';

/** True if this process should watch the store, in its own view of the region. */
export function isRelay(state: MeshState, nowMs: Ms): boolean {
  const { role, hasStore } = state.self;
  if (role !== 'entry' || !hasStore || !state.hostsKnown) return false;
  return relayRank(state, nowMs) < state.options.relayCount;
}
