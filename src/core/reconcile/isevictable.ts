import type { Holding } from '../ledger/index.js';
import { isReplaced } from './isreplaced.js';
import type { View } from './view.js';

/**
 * True if callers can reach a model without this upstream. A plan lists the models that have to stay, and it covers an
 * old version only if it names the new one. Without a plan only the reports of entries count. Entries report a replica
 * only to the holder with the higher id, so that two holders do not both evict the model, each relying on the other.
 */
function isHeldElsewhere({ plan, replicas }: View, { model, version, adapter }: Holding): boolean {
  if (replicas.has(model)) return true;
  if (!plan) return false;
  const planned = plan.models.find((wanted) => wanted.model === model);
  const isSameVersion = planned && (planned.version === '' || planned.version === version);
  if (isSameVersion && !adapter) return false;
  return !plan.keepUntilPlaced.includes(model);
}

function isInDocument({ catalogue }: View, { model, adapter }: Holding): boolean {
  return adapter ? catalogue.adapters.has(adapter) : catalogue.models.has(model);
}

/** True if a holding may be evicted: it is not desired here, and callers can reach its model elsewhere. */
export function isEvictable(view: View, holding: Holding): boolean {
  const isWanted = view.desired.some(({ key }) => key === holding.key);
  // A planned model may be evicted for an on-demand load, whose model callers cannot reach at all.
  if (isWanted && !view.yielding.has(holding.model)) return false;
  if (!isInDocument(view, holding) || isReplaced(view, holding)) return true;
  return isHeldElsewhere(view, holding);
}
