import type { Holding, HoldingKey, Ledger } from '../ledger/index.js';
import { isEvictable } from './isevictable.js';
import type { View } from './view.js';

/** A model with its adapters, or a single adapter, that can be unloaded to make room. */
interface Victim {
  readonly holding: Holding;
  readonly sizeBytes: number;
}

/** Returns a holding and, if it is a model, its adapters, which are unloaded with it. */
function partsOf({ holdings }: Ledger, holding: Holding): Holding[] {
  if (holding.adapter) return [holding];
  return [...holdings.values()].filter(
    ({ model, version }) => model === holding.model && version === holding.version,
  );
}

function hasOrder({ openOrders }: Ledger, key: HoldingKey): boolean {
  for (const open of openOrders.values()) if (open.key === key) return true;
  return false;
}

function isIdle({ ledger }: View, { key, phase }: Holding): boolean {
  return phase === 'ready' && !ledger.pins.has(key) && !hasOrder(ledger, key);
}

/** Returns what may be unloaded now to make room, the least recently used first. */
export function victimsOf(view: View): Victim[] {
  const victims: Victim[] = [];
  for (const holding of view.ledger.holdings.values()) {
    const parts = partsOf(view.ledger, holding);
    if (!parts.every((part) => isIdle(view, part) && isEvictable(view, part))) continue;
    // An order may be open for an adapter that no report shows yet.
    const prefix = `${holding.key}+`;
    const orders = [...view.ledger.openOrders.values()];
    if (!holding.adapter && orders.some(({ key }) => key?.startsWith(prefix))) continue;
    const sizeBytes = parts.reduce((sum, part) => sum + part.sizeBytes, 0);
    victims.push({ holding, sizeBytes });
  }
  const usedAt = ({ holding }: Victim) => view.lastUsedAtMs.get(holding.key) ?? 0;
  return victims.sort((a, b) => usedAt(a) - usedAt(b) || (a.holding.key < b.holding.key ? -1 : 1));
}
