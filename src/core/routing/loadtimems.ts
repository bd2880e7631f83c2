import type { ModelId, Ms } from '../../base/index.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';

/** Returns the expected time to load a model, based on observed loads. */
export function loadTimeMs(state: RoutingState, model: ModelId | undefined): Ms {
  const sizeBytes = model === undefined ? 0 : (state.modelBytes.get(model) ?? 0);
  return Math.max(routingLimits.shortestLoadMs, sizeBytes * state.loadMsPerByte);
}
