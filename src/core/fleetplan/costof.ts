import type { Census } from './census.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';
import type { PlanUpstream } from './planupstream.js';

/** What taking a model from an upstream costs; infinite if it must not be taken now. */
export function costOf(
  input: PlanInput,
  census: Census,
  { model, phase, ageMs }: PlanUpstream['placed'][number],
): number {
  if (phase !== 'ready') return Infinity;
  const isInUse = census.isInUse(model);
  if (isInUse && ageMs < planRules.leastStayMs) return Infinity;
  const leftCount = census.readyCount(model) - 1;
  const running = census.concurrency(model) / Math.max(1, census.readyCount(model));
  const runningCost = running * planRules.runningCost;
  if (leftCount >= census.wantedCount(model)) {
    return planRules.surplusCost + census.fill(model, leftCount) + runningCost;
  }
  if (leftCount >= census.neededCount(model)) {
    return planRules.adapterGain + census.fill(model, leftCount) + runningCost;
  }
  if (leftCount > 0) {
    const { neededCost, neededCostPerFill } = planRules;
    return neededCost + neededCostPerFill * census.fill(model, leftCount) + runningCost;
  }
  if (!isInUse) return planRules.idleLastCost;
  const perSecond = input.demand.get(model)?.perSecond ?? 0;
  return planRules.usedLastCost + perSecond * planRules.usedLastCostPerS;
}
