import { holdingKeyOf, type Holding } from '../ledger/index.js';
import type { View } from './view.js';

/** True if a holding has an old version and the document's version is ready here. */
export function isReplaced(
  { ledger, catalogue }: View,
  { model, version, adapter }: Holding,
): boolean {
  const current = catalogue.models.get(model)?.version;
  if (current === undefined || current === version) return false;
  const key = holdingKeyOf(model, current, adapter);
  if (ledger.holdings.get(key)?.phase !== 'ready') return false;
  for (const open of ledger.openOrders.values()) if (open.key === key) return false;
  return true;
}
