import { isEvictable } from '../reconcile/index.js';
import type { ResidencyRules } from './residencyrules.js';
import { defaultResidencyRules } from './defaultresidencyrules.js';
import type { ResidencyState } from './residencystate.js';
import { viewOf } from './viewof.js';

/**
 * Counts the models here that the planner has not placed elsewhere yet. Returns 0 without a plan, as nothing will be
 * placed then.
 */
export function unplacedOf(
  state: ResidencyState,
  nowMs: number,
  rules: ResidencyRules = defaultResidencyRules,
): number {
  if (!state.plan) return 0;
  const view = viewOf(state, nowMs, rules);
  let count = 0;
  for (const holding of state.ledger.holdings.values()) {
    if (!holding.adapter && !isEvictable(view, holding)) count += 1;
  }
  return count;
}
