import type { EngineReport } from '../../port/index.js';
import type { Holding } from './holding.js';
import type { Ledger } from './ledger.js';
import type { OpenOrder } from './openorder.js';

/** The guards of the ledger. The checker turns one off at a time; nothing else passes its own. */
export interface LedgerRules {
  /** Whether an open load keeps its memory reserved. */
  readonly reserves: (open: OpenOrder) => boolean;
  /** Whether a holding counts as memory in use. */
  readonly counts: (holding: Holding, ledger: Ledger) => boolean;
  /** Memory kept for the KV cache. */
  readonly kvCacheReserve: (ledger: Ledger) => number;
  /** Whether a report is newer than what is known. */
  readonly isNews: (ledger: Ledger, report: EngineReport, poll: number) => boolean;
  /** Whether an order stays open when the engine has restarted: a copy may reach the new process. */
  readonly outlivesEngine: (open: OpenOrder) => boolean;
  /** Whether a report proves that an order can no longer change the engine's memory. */
  readonly proves: (report: EngineReport, open: OpenOrder, checksFencing: boolean) => boolean;
}
