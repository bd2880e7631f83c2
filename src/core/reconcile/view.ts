import type { Ms } from '../../base/index.js';
import type { HoldingKey, Ledger, LedgerRules } from '../ledger/index.js';
import type { DesiredHolding } from './desiredholding.js';
import type { Catalogue } from './catalogue.js';
import type { Plan } from './plan.js';

/** Input of the reconciler. */
export interface View {
  readonly ledger: Ledger;
  readonly catalogue: Catalogue;
  readonly plan: Plan | undefined;
  /** Models and adapters that should be in memory, the most urgent first. */
  readonly desired: readonly DesiredHolding[];
  /** Models that other upstreams hold, as reported by entries. */
  readonly replicas: ReadonlySet<string>;
  /** Models that may be evicted for an on-demand load although the plan wants them. */
  readonly yielding: ReadonlySet<string>;
  readonly lastUsedAtMs: ReadonlyMap<HoldingKey, Ms>;
  /** False while loads may not be ordered. */
  readonly mayLoad: boolean;
  readonly rules: LedgerRules;
}
