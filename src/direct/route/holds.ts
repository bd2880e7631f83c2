import type { Ms } from '../../base/index.js';
import type { Need } from './need.js';
import type { UpstreamState } from './upstreamstate.js';

function hinted({ hints }: UpstreamState, key: string, nowMs: Ms): boolean | undefined {
  const hint = hints.get(key);
  return hint && hint.untilMs > nowMs ? hint.isThere : undefined;
}

/** Whether an upstream has the model and the adapter, as far as this entry knows. */
export function holds(state: UpstreamState, { model, adapter }: Need, nowMs: Ms): boolean {
  if (model === undefined) return true;
  const held = state.info.models.get(model);
  if (!(hinted(state, model, nowMs) ?? held !== undefined)) return false;
  if (adapter === undefined) return true;
  return hinted(state, `${model}/${adapter}`, nowMs) ?? held?.adapters.has(adapter) ?? false;
}
