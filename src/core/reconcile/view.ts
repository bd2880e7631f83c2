import type { Ms } from '../../base/index.js';
import type { HoldingKey, Ledger, LedgerRules } from '../ledger/index.js';
import type { DesiredHolding } from './desiredholding.js';
import type { Catalogue } from './catalogue.js';
import type { Plan } from './plan.js';

/** All that the reconciler looks at. */
export interface View {
  readonly upstream: string;
  readonly ledger: Ledger;
  readonly catalogue: Catalogue;
  readonly plan: Plan | undefined;
  /** What should be in memory, the most urgent first. */
  readonly desired: readonly DesiredHolding[];
  /** Other upstreams that hold a model or adapter ready, by its id. */
  readonly replicas: ReadonlyMap<string, readonly string[]>;
  readonly lastUsedAtMs: ReadonlyMap<HoldingKey, Ms>;
  /** False while no load may leave: then only room is made. */
  readonly mayLoad: boolean;
  readonly rules: LedgerRules;
}
