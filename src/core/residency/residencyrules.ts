import type { EngineReport } from '../../port/index.js';
import type { Incarnation, Ms } from '../../base/index.js';
import type { Intent } from '../fence/index.js';
import type { HoldingKey, Ledger, LedgerRules, OpenOrder } from '../ledger/index.js';
import type { ResidencyState } from './residencystate.js';

/** The guards of orders and pins. Only the model checker replaces them, to turn off one at a time. */
export interface ResidencyRules {
  readonly ledger: LedgerRules;
  /** True if this sidecar may send orders at all. */
  readonly mayOrder: (state: ResidencyState) => boolean;
  /**
   * True if the last report was requested after the incarnation was taken: an earlier report may lack what the previous
   * sidecar loaded and settled in between.
   */
  readonly hasCurrentReport: (state: ResidencyState) => boolean;
  /** True if the next attempt of an order is recorded where a successor will find it. */
  readonly isRecorded: (state: ResidencyState, open: OpenOrder) => boolean;
  /** True if the proof that this sidecar is the latest is recent enough to act on: a suspension makes it stale. */
  readonly isFresh: (state: ResidencyState, nowMs: Ms) => boolean;
  /** True if the engine is known to refuse the orders of every earlier sidecar. */
  readonly hasBarrier: (state: ResidencyState) => boolean;
  /** True if a report shows that a later sidecar has sent orders. */
  readonly showsSuccessor: (state: ResidencyState, report: EngineReport) => boolean;
  /** The fencing token that an order carries. */
  readonly tokenOf: (state: ResidencyState) => Incarnation;
  /** True if an order would unload or change something that requests in flight use. */
  readonly isPinned: (ledger: Ledger, open: OpenOrder) => boolean;
  /**
   * True if a holding is about to be unloaded, or its engine is about to change role: the holding accepts no new pins.
   */
  readonly isBeingRemoved: (ledger: Ledger, key: HoldingKey) => boolean;
  /** Selects the orders of earlier sidecars that still count. */
  readonly inherit: (inherited: readonly Intent[]) => readonly Intent[];
}
