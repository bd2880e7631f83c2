import type { Holding } from '../ledger/index.js';
import { isReplaced } from './isreplaced.js';
import type { View } from './view.js';

/**
 * Whether callers can reach a model without this upstream. A plan knows where each model is: it lists what
 * has to stay, and it speaks of an old version only if it names the new one. Without a plan only the entries'
 * word counts, and they name a replica only to the holder with the higher id, so that two upstreams which
 * see each other's replica do not both drop theirs.
 */
function isHeldElsewhere({ plan, replicas }: View, { model, version, adapter }: Holding): boolean {
  if (replicas.has(model)) return true;
  if (!plan) return false;
  const wish = plan.models.find((wanted) => wanted.model === model);
  const isUnspoken = wish && (wish.version === '' || wish.version === version);
  if (isUnspoken && !adapter) return false;
  return !plan.keepUntilPlaced.includes(model);
}

function isOffered({ catalogue }: View, { model, adapter }: Holding): boolean {
  return adapter ? catalogue.adapters.has(adapter) : catalogue.models.has(model);
}

/** Whether a holding may be given up: nothing wants it here, and callers can reach it without it. */
export function isEvictable(view: View, holding: Holding): boolean {
  const isWanted = view.desired.some(({ key }) => key === holding.key);
  // What a plan wants here makes room for a model that callers could not reach at all.
  if (isWanted && !view.yielding.has(holding.model)) return false;
  if (!isOffered(view, holding) || isReplaced(view, holding)) return true;
  return isHeldElsewhere(view, holding);
}
