import type { Ms } from '../../base/index.js';
import type { Order } from '../../port/index.js';
import { keyOfOrder } from './keyoforder.js';
import type { Ledger } from './ledger.js';

/** Enters a new order: from here on its memory is reserved. */
export function enterOrder(ledger: Ledger, order: Order, nowMs: Ms): Ledger {
  const openOrders = new Map(ledger.openOrders);
  openOrders.set(order.orderId, {
    order,
    key: keyOfOrder(order),
    phase: 'intended',
    openedAtMs: nowMs,
    lastSentAtMs: nowMs,
    sentCount: 0,
  });
  return { ...ledger, openOrders };
}
