import { committedBytes, roomBytes, type Ledger } from '../ledger/index.js';
import type { DesiredHolding } from './desiredholding.js';
import type { View } from './view.js';
import { victimsOf } from './victimsof.js';

/** Memory that unloads under way will give back. */
function leavingBytes({ holdings, openOrders }: Ledger): number {
  let bytes = 0;
  for (const { order, key } of openOrders.values()) {
    if (!key || !order.action.startsWith('unload')) continue;
    for (const holding of holdings.values()) {
      const goes = holding.key === key || holding.key.startsWith(`${key}+`);
      if (goes) bytes += holding.sizeBytes;
    }
  }
  return bytes;
}

/** How a load that does not fit yet could fit. */
type Room =
  | { readonly type: 'waits' }
  | { readonly type: 'unload'; readonly victim: ReturnType<typeof victimsOf>[number]['holding'] }
  | { readonly type: 'none' };

/** Looks for room for one load: unloads under way first, then what may be evicted. */
export function roomOf(view: View, desired: DesiredHolding): Room {
  const { ledger, rules } = view;
  const missing = committedBytes(ledger, rules) + desired.sizeBytes - roomBytes(ledger);
  const needed = missing - leavingBytes(ledger);
  if (needed <= 0) return { type: 'waits' };
  const victims = victimsOf(view).filter(
    ({ holding }) => !(desired.adapter && holding.model === desired.model),
  );
  const obtainable = victims.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  const [first] = victims;
  if (!first || obtainable < needed) return { type: 'none' };
  return { type: 'unload', victim: first.holding };
}
