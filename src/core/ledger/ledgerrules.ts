import type { EngineReport } from '../../port/index.js';
import type { Holding } from './holding.js';
import type { Ledger } from './ledger.js';
import type { OpenOrder } from './openorder.js';

/** Safety guards of the ledger. Only the checker passes rules of its own, to disable one guard at a time. */
export interface LedgerRules {
  /** True if an open load keeps its memory reserved. */
  readonly reservesMemory: (open: OpenOrder) => boolean;
  /** True if a holding counts as memory in use. */
  readonly countsAsUsed: (holding: Holding, ledger: Ledger) => boolean;
  /** Returns the memory reserved for the KV cache. */
  readonly kvCacheReserve: (ledger: Ledger) => number;
  /** True if a report is newer than the last one in the ledger. */
  readonly isNewReport: (ledger: Ledger, report: EngineReport, poll: number) => boolean;
  /** True if an order stays open after the engine has restarted: a copy may reach the new process. */
  readonly survivesRestart: (open: OpenOrder) => boolean;
  /** True if a report proves that an order can no longer change the engine's memory. */
  readonly provesResolved: (
    report: EngineReport,
    open: OpenOrder,
    checksFencing: boolean,
  ) => boolean;
}
