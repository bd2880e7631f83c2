import { committedBytes } from './committedbytes.js';
import type { Ledger } from './ledger.js';
import type { LedgerRules } from './ledgerrules.js';
import { roomBytes } from './roombytes.js';

/** Memory that a new load may take; never below 0. */
export function freeBytes(ledger: Ledger, rules?: LedgerRules): number {
  return Math.max(0, roomBytes(ledger) - committedBytes(ledger, rules));
}
