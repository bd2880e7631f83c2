import type { LedgerRules } from './ledgerrules.js';

/** The guards used in production. */
export const defaultLedgerRules: LedgerRules = {
  reservesMemory: () => true,
  countsAsUsed: () => true,
  kvCacheReserve({ kvCacheReserveBytes, role, openOrders }) {
    let reserve = kvCacheReserveBytes[role];
    for (const { order } of openOrders.values()) {
      if (order.role) reserve = Math.max(reserve, kvCacheReserveBytes[order.role]);
    }
    return reserve;
  },
  isNewReport(ledger, report, poll) {
    if (poll <= ledger.poll) return false;
    return report.engineId !== ledger.engineId || report.sequence >= ledger.sequence;
  },
  survivesRestart: () => true,
  provesResolved(report, { order }, checksFencing) {
    if (report.settledOrderIds.includes(order.orderId)) return true;
    // An engine that has seen a higher fencing token rejects copies of earlier orders.
    return checksFencing && report.highestFencingToken > order.fencingToken;
  },
};
