import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';

/** Creates the routing state of an entry that knows no upstreams yet. */
export function createRouting(availabilityZone: string, seed: number): RoutingState {
  return {
    availabilityZone,
    seed,
    upstreams: new Map(),
    modelBytes: new Map(),
    inFlight: new Map(),
    hints: new Map(),
    waiting: new Map(),
    rescues: new Map(),
    retryTokens: routingLimits.retryTokens,
    loadMsPerByte: routingLimits.loadMsPerByte,
    prefixScores: new Map(),
  };
}
