import type { ModelId, UpstreamId } from '../../base/index.js';
import type { RoutingState } from './routingstate.js';

/**
 * Models that an upstream may give up to make room: each is ready at a live upstream with a lower id. The
 * holder with the lowest id is never told so, and so the last replica stays whoever asks.
 */
export function heldElsewhere(state: RoutingState, upstream: UpstreamId): readonly ModelId[] {
  const own = state.upstreams.get(upstream);
  const held: ModelId[] = [];
  for (const model of own?.residents.keys() ?? []) {
    for (const { id, phase, residents } of state.upstreams.values()) {
      if (id >= upstream || phase !== 'ready' || residents.get(model)?.phase !== 'ready') continue;
      held.push(model);
      break;
    }
  }
  return held;
}
