import type { Target } from '../document/index.js';
import { loadKey } from './loadkey.js';
import type { UpstreamView } from './upstreamview.js';

/** True if an upstream can answer the request now: a plain service of its kind, or model and adapter in memory. */
export function serves(view: UpstreamView, target: Target): boolean {
  if (target.model === undefined) {
    if (view.type !== 'plain') return false;
    return view.kinds.length === 0 || view.kinds.includes(target.kind.name);
  }
  const resident = view.residents.get(target.model);
  if (resident?.phase !== 'ready' || view.missing.has(loadKey(target))) return false;
  return target.adapter === undefined || resident.adapters.has(target.adapter);
}
