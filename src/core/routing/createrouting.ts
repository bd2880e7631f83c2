import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';

/** Routing before anything is known. */
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
    warmth: new Map(),
  };
}
