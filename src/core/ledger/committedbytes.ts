import type { HoldingKey } from './holdingkey.js';
import type { Ledger } from './ledger.js';
import type { LedgerRules } from './ledgerrules.js';
import { defaultLedgerRules } from './defaultledgerrules.js';

/** Returns the largest reservation of an open load for each key. */
function reservations(ledger: Ledger, rules: LedgerRules): Map<HoldingKey, number> {
  const reserved = new Map<HoldingKey, number>();
  for (const open of ledger.openOrders.values()) {
    const { key, order } = open;
    if (!key || !order.action.startsWith('load') || !rules.reservesMemory(open)) continue;
    reserved.set(key, Math.max(reserved.get(key) ?? 0, order.sizeBytes ?? 0));
  }
  return reserved;
}

/**
 * Returns the memory that is or may come into use. An engine loads a key at most once, so a key counts with
 * the larger of its resident size and its reservation.
 */
export function committedBytes(ledger: Ledger, rules: LedgerRules = defaultLedgerRules): number {
  const reserved = reservations(ledger, rules);
  let bytes = rules.kvCacheReserve(ledger);
  for (const holding of ledger.holdings.values()) {
    const reservedBytes = reserved.get(holding.key) ?? 0;
    const resident = rules.countsAsUsed(holding, ledger) ? holding.sizeBytes : 0;
    bytes += Math.max(resident, reservedBytes);
    reserved.delete(holding.key);
  }
  for (const reservedBytes of reserved.values()) bytes += reservedBytes;
  return bytes;
}
