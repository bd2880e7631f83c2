import type { Ms } from '../../base/index.js';
import { mayServe } from './mayserve.js';
import type { Target } from './target.js';
import type { UpstreamState } from './upstreamstate.js';

function hinted(
  { hints }: UpstreamState,
  model: string,
  adapter: string | undefined,
  nowMs: Ms,
): boolean | undefined {
  // Nearly all upstreams have no hints; this spares the key.
  if (hints.size === 0) return undefined;
  const hint = hints.get(adapter === undefined ? model : `${model}/${adapter}`);
  return hint && hint.untilMs > nowMs ? hint.isThere : undefined;
}

/** Returns true if an upstream can serve the target from its memory, as far as this entry knows. */
export function has(state: UpstreamState, target: Target, nowMs: Ms): boolean {
  if (!mayServe(state, target)) return false;
  const { model, adapter } = target;
  if (model === undefined) return true;
  const held = state.info.models.get(model);
  if (!(hinted(state, model, undefined, nowMs) ?? held !== undefined)) return false;
  if (adapter === undefined) return true;
  return hinted(state, model, adapter, nowMs) ?? held?.adapters.has(adapter) ?? false;
}
