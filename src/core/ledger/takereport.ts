import type { EngineReport } from '../../port/index.js';
import { nextPhase } from '../order/index.js';
import { holdingsOf } from './holdingsof.js';
import type { Ledger } from './ledger.js';
import type { LedgerRules } from './ledgerrules.js';
import { ledgerRulesInForce } from './ledgerrulesinforce.js';
import type { OpenOrder } from './openorder.js';

/** What a report did to the ledger. */
interface TakenReport {
  readonly ledger: Ledger;
  /** Orders that the report resolves. */
  readonly resolved: readonly OpenOrder[];
  readonly isNews: boolean;
}

/**
 * Adopts a report. It replaces the holdings, and resolves exactly the orders that it proves done or
 * refused for good. An engine that has restarted forgets what it took: such orders become `unknown`, and
 * keep their memory, because a copy of them may still arrive at the new process.
 */
export function takeReport(
  ledger: Ledger,
  report: EngineReport,
  poll: number,
  checksFencing: boolean,
  rules: LedgerRules = ledgerRulesInForce,
): TakenReport {
  if (!rules.isNews(ledger, report, poll)) return { ledger, resolved: [], isNews: false };
  const { engineId, sequence, highestFencingToken, role, memoryBytes: reportedBytes } = report;
  const restarted = ledger.engineId !== undefined && ledger.engineId !== engineId;
  const openOrders = new Map<string, OpenOrder>();
  const resolved: OpenOrder[] = [];
  for (const [orderId, open] of ledger.openOrders) {
    const isSent = open.phase !== 'intended';
    if (isSent && rules.proves(report, open, checksFencing)) resolved.push(open);
    else if (!restarted) openOrders.set(orderId, open);
    else if (rules.outlivesEngine(open)) {
      openOrders.set(orderId, { ...open, phase: nextPhase(open.phase, 'restarted') });
    }
  }
  const seen = { engineId, sequence, poll, highestFencingToken, role, reportedBytes };
  const holdings = holdingsOf(report);
  return { ledger: { ...ledger, ...seen, holdings, openOrders }, resolved, isNews: true };
}
