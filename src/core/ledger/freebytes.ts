import { committedBytes } from './committedbytes.js';
import type { Ledger } from './ledger.js';
import type { LedgerRules } from './ledgerrules.js';
import { usableBytes } from './usablebytes.js';

/** Returns the memory available to a new load; never below 0. */
export function freeBytes(ledger: Ledger, rules?: LedgerRules): number {
  return Math.max(0, usableBytes(ledger) - committedBytes(ledger, rules));
}
