import type { EngineReport } from '../../port/index.js';
import type { Incarnation, Ms } from '../../base/index.js';
import type { Intent } from '../fence/index.js';
import type { HoldingKey, Ledger, LedgerRules, OpenOrder } from '../ledger/index.js';
import type { ResidencyState } from './residencystate.js';

/** The guards of orders and pins. The checker turns one off at a time; nothing else passes its own. */
export interface ResidencyRules {
  readonly ledger: LedgerRules;
  /** Whether this sidecar may order at all. */
  readonly mayOrder: (state: ResidencyState) => boolean;
  /** Whether the last report was asked for after the incarnation was taken: an earlier one may lack
   * what the sidecar before us had loaded and settled in between. */
  readonly isInformed: (state: ResidencyState) => boolean;
  /** Whether the next attempt of an order is where a successor will find it. */
  readonly isRecorded: (state: ResidencyState, open: OpenOrder) => boolean;
  /** Whether the proof that we are the latest is new enough to act on: a pause makes it old. */
  readonly isFresh: (state: ResidencyState, nowMs: Ms) => boolean;
  /** Whether the engine is known to refuse the orders of every earlier sidecar. */
  readonly hasBarrier: (state: ResidencyState) => boolean;
  /** Whether a report shows that another sidecar has ordered after us. */
  readonly showsSuccessor: (state: ResidencyState, report: EngineReport) => boolean;
  /** The fencing token that an order carries. */
  readonly tokenOf: (state: ResidencyState) => Incarnation;
  /** Whether an order would take something away from requests in flight. */
  readonly isPinned: (ledger: Ledger, open: OpenOrder) => boolean;
  /** Whether a holding is marked to go, and so takes no new pins. */
  readonly isMarked: (ledger: Ledger, key: HoldingKey) => boolean;
  /** Which orders of those before us still count. */
  readonly inherit: (inherited: readonly Intent[]) => readonly Intent[];
}
