import type { ModelId, Ms, UpstreamId } from '../../base/index.js';
import type { RoutingState } from './routingstate.js';

/**
 * Models that an upstream may give up to make room: each is ready at a live upstream with a lower id. The
 * holder with the lowest id is never told so, and so the last replica stays whoever asks. Where memory does not
 * hold all models, those that have been ready since `sharedBeforeMs` make way as well: the models take turns.
 */
export function heldElsewhere(
  state: RoutingState,
  upstream: UpstreamId,
  sharedBeforeMs: Ms = -Infinity,
): readonly ModelId[] {
  const own = state.upstreams.get(upstream);
  const held: ModelId[] = [];
  for (const [model, { phase: ownPhase, sinceMs }] of own?.residents ?? []) {
    if (ownPhase === 'ready' && sinceMs <= sharedBeforeMs) {
      held.push(model);
      continue;
    }
    for (const { id, phase, residents } of state.upstreams.values()) {
      if (id >= upstream || phase !== 'ready' || residents.get(model)?.phase !== 'ready') continue;
      held.push(model);
      break;
    }
  }
  return held;
}
