import type { ModelId } from '../../base/index.js';
import type { Census } from './census.js';
import type { ModelDemand } from './modeldemand.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';

const MS_PER_S = 1000;

function absentGain({ perSecond, waiting, absentMs }: ModelDemand): number {
  const {
    absentGain: least,
    absentGainPerS,
    absentGainPerWaiting,
    absentGainPerAbsentS,
  } = planRules;
  const asked = perSecond * absentGainPerS + waiting * absentGainPerWaiting;
  return least + asked + (absentMs / MS_PER_S) * absentGainPerAbsentS;
}

/** What one more place of a model is worth; 0 if it has all that it should have. */
export function gainOf(input: PlanInput, census: Census, model: ModelId): number {
  const heldCount = census.heldCount(model);
  const demand = input.demand.get(model);
  if (heldCount === 0) {
    if (demand && census.isInUse(model)) return absentGain(demand);
    return planRules.reachableGain;
  }
  if (heldCount >= census.wantedCount(model)) return 0;
  if (heldCount >= census.neededCount(model)) return planRules.adapterGain;
  return planRules.replicaGain * census.fill(model, heldCount);
}
