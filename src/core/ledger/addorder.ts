import type { Ms } from '../../base/index.js';
import type { Order } from '../../port/index.js';
import { keyOfOrder } from './keyoforder.js';
import type { Ledger } from './ledger.js';

/** Adds a new order, whose memory is reserved from now on. */
export function addOrder(ledger: Ledger, order: Order, nowMs: Ms): Ledger {
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
