import { isEvictable } from '../reconcile/index.js';
import type { ResidencyRules } from './residencyrules.js';
import { residencyRulesInForce } from './residencyrulesinforce.js';
import type { ResidencyState } from './residencystate.js';
import { viewOf } from './viewof.js';

/**
 * Models here that the planner has not placed elsewhere yet. Without a plan nobody places anything, so
 * there is nothing to wait for.
 */
export function unplacedOf(
  state: ResidencyState,
  nowMs: number,
  rules: ResidencyRules = residencyRulesInForce,
): number {
  if (!state.plan) return 0;
  const view = viewOf(state, nowMs, rules);
  let count = 0;
  for (const holding of state.ledger.holdings.values()) {
    if (!holding.adapter && !isEvictable(view, holding)) count += 1;
  }
  return count;
}
