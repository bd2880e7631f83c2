import type { HoldingKey } from './holdingkey.js';
import type { Ledger } from './ledger.js';

/** Adds `by` (1 or -1) to the pin count of each key. */
export function changePins(ledger: Ledger, keys: readonly HoldingKey[], by: 1 | -1): Ledger {
  const pins = new Map(ledger.pins);
  for (const key of keys) {
    const count = (pins.get(key) ?? 0) + by;
    if (count > 0) pins.set(key, count);
    else pins.delete(key);
  }
  return { ...ledger, pins };
}
