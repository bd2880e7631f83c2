import type { Ms } from '../../base/index.js';
import type { HoldingKey, Ledger, LedgerRules } from '../ledger/index.js';
import type { DesiredHolding } from './desiredholding.js';
import type { Catalogue } from './catalogue.js';
import type { Plan } from './plan.js';

/** All that the reconciler looks at. */
export interface View {
  readonly ledger: Ledger;
  readonly catalogue: Catalogue;
  readonly plan: Plan | undefined;
  /** What should be in memory, the most urgent first. */
  readonly desired: readonly DesiredHolding[];
  /** Models that other upstreams keep reachable, as the entries see it. */
  readonly replicas: ReadonlySet<string>;
  /** Models that make room for a rescue, although the plan wants them. */
  readonly yielding: ReadonlySet<string>;
  readonly lastUsedAtMs: ReadonlyMap<HoldingKey, Ms>;
  /** False while no load may leave: then only room is made. */
  readonly mayLoad: boolean;
  readonly rules: LedgerRules;
}
