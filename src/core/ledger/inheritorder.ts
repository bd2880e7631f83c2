import type { Ms } from '../../base/index.js';
import type { Intent } from '../fence/index.js';
import { keyOfOrder } from './keyoforder.js';
import type { Ledger } from './ledger.js';

/** Adds an order of an earlier sidecar incarnation. It may still arrive, so its memory stays reserved. */
export function inheritOrder(ledger: Ledger, { order, attempt }: Intent, nowMs: Ms): Ledger {
  const openOrders = new Map(ledger.openOrders);
  openOrders.set(order.orderId, {
    order,
    key: keyOfOrder(order),
    phase: 'unknown',
    openedAtMs: nowMs,
    lastSentAtMs: nowMs,
    sentCount: attempt,
  });
  return { ...ledger, openOrders };
}
