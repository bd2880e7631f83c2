import type { Order } from '../../port/index.js';
import { committedBytes } from './committedbytes.js';
import type { Ledger } from './ledger.js';
import type { LedgerRules } from './ledgerrules.js';
import { roomBytes } from './roombytes.js';
import { enterOrder } from './enterorder.js';

/** Whether an order may be opened: with its reservation, everything still fits. */
export function fits(ledger: Ledger, order: Order, rules?: LedgerRules): boolean {
  return committedBytes(enterOrder(ledger, order, 0), rules) <= roomBytes(ledger);
}
