import type { ModelId } from '../../base/index.js';
import type { Census } from './census.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';

/** What one more place of a model is worth; 0 if it has all that it should have. */
export function gainOf(input: PlanInput, census: Census, model: ModelId): number {
  const heldCount = census.heldCount(model);
  const demand = input.demand.get(model);
  if (heldCount === 0) {
    if (demand && demand.waiting > 0) return planRules.waitingGain + demand.waiting;
    if (census.isInUse(model)) return planRules.inUseGain + (demand?.perSecond ?? 0);
    return planRules.reachableGain;
  }
  if (heldCount >= census.wantedCount(model)) return 0;
  if (heldCount >= census.neededCount(model)) return planRules.adapterGain;
  return planRules.replicaGain * census.fill(model, heldCount);
}
