import type { LedgerRules } from './ledgerrules.js';

/** The guards as they run. */
export const ledgerRulesInForce: LedgerRules = {
  reserves: () => true,
  counts: () => true,
  kvCacheReserve({ kvCacheReserveBytes, role, openOrders }) {
    let reserve = kvCacheReserveBytes[role];
    for (const { order } of openOrders.values()) {
      if (order.role) reserve = Math.max(reserve, kvCacheReserveBytes[order.role]);
    }
    return reserve;
  },
  isNews(ledger, report, poll) {
    if (poll <= ledger.poll) return false;
    return report.engineId !== ledger.engineId || report.sequence >= ledger.sequence;
  },
  outlivesEngine: () => true,
  proves(report, { order }, checksFencing) {
    if (report.settledOrderIds.includes(order.orderId)) return true;
    // An engine that has seen a later token takes no copy of an earlier order any more.
    return checksFencing && report.highestFencingToken > order.fencingToken;
  },
};
