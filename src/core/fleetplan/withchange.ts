import type { ModelId } from '../../base/index.js';
import type { PlanUpstream } from './planupstream.js';

/** The upstreams with a model more, or with one less, at one of them. */
export function withChange(
  upstreams: readonly PlanUpstream[],
  at: PlanUpstream,
  model: ModelId,
  isAdded: boolean,
): readonly PlanUpstream[] {
  const others = at.placed.filter((one) => one.model !== model);
  const added = { model, phase: 'ready' as const, ageMs: 0, adapters: new Set<string>() };
  const changed = { ...at, placed: isAdded ? [...others, added] : others };
  return upstreams.map((one) => (one.id === at.id ? changed : one));
}
