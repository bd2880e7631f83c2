import type { EngineReport } from '../../port/index.js';
import { nextPhase } from '../order/index.js';
import { holdingsOf } from './holdingsof.js';
import type { Ledger } from './ledger.js';
import type { LedgerRules } from './ledgerrules.js';
import { defaultLedgerRules } from './defaultledgerrules.js';
import type { OpenOrder } from './openorder.js';

/** Result of applying a report to the ledger. */
interface AppliedReport {
  readonly ledger: Ledger;
  /** Orders that the report resolves. */
  readonly resolved: readonly OpenOrder[];
  readonly isNewReport: boolean;
}

/**
 * Applies a report. It replaces the holdings and resolves exactly the orders that it proves done or
 * permanently refused. A restarted engine has lost the orders it accepted: they become `unknown` and keep
 * their reservation, because a copy may still arrive at the new process.
 */
export function applyReport(
  ledger: Ledger,
  report: EngineReport,
  poll: number,
  checksFencing: boolean,
  rules: LedgerRules = defaultLedgerRules,
): AppliedReport {
  if (!rules.isNewReport(ledger, report, poll)) return { ledger, resolved: [], isNewReport: false };
  const { engineId, sequence, highestFencingToken, role, memoryBytes: reportedBytes } = report;
  const restarted = ledger.engineId !== undefined && ledger.engineId !== engineId;
  const openOrders = new Map<string, OpenOrder>();
  const resolved: OpenOrder[] = [];
  for (const [orderId, open] of ledger.openOrders) {
    const isSent = open.phase !== 'intended';
    if (isSent && rules.provesResolved(report, open, checksFencing)) resolved.push(open);
    else if (!restarted) openOrders.set(orderId, open);
    else if (rules.survivesRestart(open)) {
      openOrders.set(orderId, { ...open, phase: nextPhase(open.phase, 'restarted') });
    }
  }
  const seen = { engineId, sequence, poll, highestFencingToken, role, reportedBytes };
  const holdings = holdingsOf(report);
  return { ledger: { ...ledger, ...seen, holdings, openOrders }, resolved, isNewReport: true };
}
