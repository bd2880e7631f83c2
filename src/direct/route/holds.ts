import type { Need } from './need.js';
import type { UpstreamState } from './upstreamstate.js';

/** Whether an upstream has the model and the adapter, as far as this entry knows. */
export function holds(state: UpstreamState, { model, adapter }: Need): boolean {
  if (model === undefined) return true;
  const held = state.info.models.get(model);
  if (!(state.hints.get(model) ?? held !== undefined)) return false;
  if (adapter === undefined) return true;
  return state.hints.get(`${model}/${adapter}`) ?? held?.adapters.has(adapter) ?? false;
}
