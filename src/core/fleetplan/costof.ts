import type { Census } from './census.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';
import type { PlanUpstream } from './planupstream.js';

type Placed = PlanUpstream['placed'][number];

/** What taking one of several places costs. */
function replicaCost(
  input: PlanInput,
  census: Census,
  upstream: PlanUpstream,
  { model }: Placed,
): number {
  const leftCount = census.readyCount(model) - 1;
  const late = census.spread.latenessWithout(model, upstream.id) - census.spread.lateness;
  const insurance = leftCount === 1 ? census.insurance(model) : 0;
  const adapters = leftCount < census.adapterCount(model) ? planRules.adapterGain : 0;
  const isKept =
    !input.isDemandKnown && leftCount < Math.ceil(census.readyCount(model) * planRules.keptShare);
  const kept = isKept ? planRules.keptCost : 0;
  return planRules.surplusCost + Math.max(0, late) + insurance + adapters + kept;
}

/** What taking a model from an upstream costs; infinite if it must not be taken now. */
export function costOf(
  input: PlanInput,
  census: Census,
  upstream: PlanUpstream,
  placed: Placed,
): number {
  const { model, phase, ageMs } = placed;
  if (phase !== 'ready') return Infinity;
  const isInUse = census.isInUse(model);
  if (isInUse && ageMs < planRules.leastStayMs) return Infinity;
  if (census.readyCount(model) > 1) {
    const runningCost = census.running(model) * planRules.runningCost;
    return replicaCost(input, census, upstream, placed) + runningCost;
  }
  if (!isInUse) return planRules.idleLastCost;
  const perSecond = input.demand.get(model)?.perSecond ?? 0;
  return planRules.usedLastCost + perSecond * planRules.usedLastCostPerS;
}
