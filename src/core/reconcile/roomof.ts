import { committedBytes, usableBytes, type Ledger } from '../ledger/index.js';
import type { DesiredHolding } from './desiredholding.js';
import type { View } from './view.js';
import { victimsOf } from './victimsof.js';

/** Returns the memory that open unload orders will free. */
function freeingBytes({ holdings, openOrders }: Ledger): number {
  let bytes = 0;
  for (const { order, key } of openOrders.values()) {
    if (!key || !order.action.startsWith('unload')) continue;
    for (const holding of holdings.values()) {
      const isFreed = holding.key === key || holding.key.startsWith(`${key}+`);
      if (isFreed) bytes += holding.sizeBytes;
    }
  }
  return bytes;
}

/** How room can be made for a load: by waiting for unloads, by another unload, or not at all. */
type Room =
  | { readonly type: 'waits' }
  | { readonly type: 'unload'; readonly victim: ReturnType<typeof victimsOf>[number]['holding'] }
  | { readonly type: 'none' };

/** Finds room for one load: first in the memory that open unloads will free, then by evictions. */
export function roomOf(view: View, desired: DesiredHolding): Room {
  const { ledger, rules } = view;
  const missing = committedBytes(ledger, rules) + desired.sizeBytes - usableBytes(ledger);
  const needed = missing - freeingBytes(ledger);
  if (needed <= 0) return { type: 'waits' };
  const victims = victimsOf(view).filter(
    ({ holding }) => !(desired.adapter && holding.model === desired.model),
  );
  const obtainable = victims.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  const [first] = victims;
  if (!first || obtainable < needed) return { type: 'none' };
  return { type: 'unload', victim: first.holding };
}
