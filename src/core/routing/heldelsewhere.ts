import type { ModelId, Ms, UpstreamId } from '../../base/index.js';
import type { RoutingState } from './routingstate.js';

/**
 * Returns the models that an upstream may unload to make room: each is ready at a ready upstream with a lower id. The
 * upstream with the lowest id is never allowed to unload it, so that the last replica stays in memory, whichever entry
 * asks. If memory cannot hold all models, those that have been ready since `sharedBeforeMs` may be unloaded too, so
 * that models share the memory over time.
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
