import type { FleetCandidate } from './fleetcandidate.js';
import type { UpstreamState } from './upstreamstate.js';

/** Returns a candidate that is not assessed yet. */
export function newCandidate(state: UpstreamState): FleetCandidate {
  return {
    state,
    load: 0,
    slots: 0,
    pace: 1,
    unloadedFirstMs: Infinity,
    serviceMs: Infinity,
    prefillCount: 0,
    firstMs: 0,
    freePlaces: 0,
    nextFreeMs: 0,
    isOwnZone: false,
    isPrefilling: false,
    risk: 0,
  };
}
