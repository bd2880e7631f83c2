import type { Ms } from '../../base/index.js';
import type { DrainState } from './drainstate.js';

/** An upstream that does not leave. */
export function servingDrain(placeTimeoutMs: Ms): DrainState {
  const nothing = { reason: undefined, inFlight: 0, unplaced: 0, placeUntilMs: Infinity };
  return { phase: 'serving', placeTimeoutMs, ...nothing };
}
