import type { HoldingKey } from './holdingkey.js';
import type { Ledger } from './ledger.js';
import type { LedgerRules } from './ledgerrules.js';
import { ledgerRulesInForce } from './ledgerrulesinforce.js';

/** Largest reservation of each key that an open load may bring into memory. */
function reservations(ledger: Ledger, rules: LedgerRules): Map<HoldingKey, number> {
  const reserved = new Map<HoldingKey, number>();
  for (const open of ledger.openOrders.values()) {
    const { key, order } = open;
    if (!key || !order.action.startsWith('load') || !rules.reserves(open)) continue;
    reserved.set(key, Math.max(reserved.get(key) ?? 0, order.sizeBytes ?? 0));
  }
  return reserved;
}

/**
 * Memory that is or may come into use: an engine holds a key once, so a key counts with the larger of
 * what is resident and what is reserved for it.
 */
export function committedBytes(ledger: Ledger, rules: LedgerRules = ledgerRulesInForce): number {
  const reserved = reservations(ledger, rules);
  let bytes = rules.kvCacheReserve(ledger);
  for (const holding of ledger.holdings.values()) {
    const promised = reserved.get(holding.key) ?? 0;
    const resident = rules.counts(holding, ledger) ? holding.sizeBytes : 0;
    bytes += Math.max(resident, promised);
    reserved.delete(holding.key);
  }
  for (const promised of reserved.values()) bytes += promised;
  return bytes;
}
