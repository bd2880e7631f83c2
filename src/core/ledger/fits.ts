import type { Order } from '../../port/index.js';
import { committedBytes } from './committedbytes.js';
import type { Ledger } from './ledger.js';
import type { LedgerRules } from './ledgerrules.js';
import { usableBytes } from './usablebytes.js';
import { addOrder } from './addorder.js';

/** True if an order may be opened, that is, if the committed memory including its reservation still fits. */
export function fits(ledger: Ledger, order: Order, rules?: LedgerRules): boolean {
  return committedBytes(addOrder(ledger, order, 0), rules) <= usableBytes(ledger);
}
