import type { Holding } from '../ledger/index.js';
import type { View } from './view.js';

/**
 * Whether other upstreams keep a model or adapter reachable without this one. Under a plan any ready
 * replica counts. Without one, only replicas at upstreams with a lower id do, so that two upstreams which
 * see each other's replica do not both drop theirs.
 */
function isHeldElsewhere(view: View, id: string): boolean {
  const holders = view.replicas.get(id) ?? [];
  if (view.plan) return holders.length > 0;
  return holders.some((holder) => holder < view.upstream);
}

function isOffered({ catalogue }: View, { model, adapter }: Holding): boolean {
  return adapter ? catalogue.adapters.has(adapter) : catalogue.models.has(model);
}

function hasOtherVersion({ ledger }: View, { model, version, adapter }: Holding): boolean {
  for (const other of ledger.holdings.values()) {
    const isSame = other.model === model && other.adapter === adapter;
    if (isSame && other.version !== version && other.phase === 'ready') return true;
  }
  return false;
}

/** Whether a holding may be given up: nothing wants it here, and callers can reach it without it. */
export function isEvictable(view: View, holding: Holding): boolean {
  if (view.desired.some(({ key }) => key === holding.key)) return false;
  if (!isOffered(view, holding) || hasOtherVersion(view, holding)) return true;
  return isHeldElsewhere(view, holding.adapter ?? holding.model);
}
