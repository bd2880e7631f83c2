import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';

/** Applies a second step to the state of a change and returns the effects of both in order. */
export function chain(change: MeshChange, next: (state: MeshState) => MeshChange): MeshChange {
  const further = next(change.state);
  if (further.effects.length === 0) return { state: further.state, effects: change.effects };
  return { state: further.state, effects: [...change.effects, ...further.effects] };
}
