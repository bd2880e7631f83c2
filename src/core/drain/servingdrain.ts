import type { Ms } from '../../base/index.js';
import type { DrainState } from './drainstate.js';

/** Returns the state of an upstream that is not draining. */
export function servingDrain(placeTimeoutMs: Ms): DrainState {
  const nothing = { reason: undefined, inFlight: 0, unplaced: 0, placeUntilMs: Infinity };
  return { phase: 'serving', placeTimeoutMs, ...nothing };
}
