import type { ModelId, Ms } from '../../base/index.js';
import type { Census } from './census.js';
import type { ModelDemand } from './modeldemand.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';
import type { PlanUpstream } from './planupstream.js';

const MS_PER_S = 1000;

function absentGain({ perSecond, waiting, absentMs }: ModelDemand): number {
  const { absentGain: least, absentGainPerS, absentGainPerWaiting } = planRules;
  const asked = perSecond * absentGainPerS + waiting * absentGainPerWaiting;
  const grown = (absentMs / MS_PER_S) ** 3 * planRules.absentGainPerAbsentS3;
  return least + asked + Math.min(planRules.mostAbsentGain, grown);
}

/** What one more place of a model at an upstream is worth; 0 if nothing. */
export function gainOf(
  input: PlanInput,
  census: Census,
  model: ModelId,
  upstream: PlanUpstream,
  loadMs: Ms,
): number {
  const heldCount = census.heldCount(model);
  const { demand } = input;
  const asked = demand.get(model);
  if (heldCount === 0 && !(asked && census.isInUse(model))) return planRules.reachableGain;
  if (!asked) return 0;
  const late = census.spread.latenessWith(model, upstream.id) - census.spread.lateness;
  // Requests that find the model nowhere do not count as late yet.
  if (heldCount === 0) return absentGain(asked) - Math.max(0, late);
  const isComing = census.readyCount(model) === 0;
  const soonerS = isComing ? Math.max(0, census.comingInMs(model) - loadMs) / MS_PER_S : 0;
  const insurance = heldCount === 1 ? census.insurance(model) : 0;
  const adapters = heldCount < census.adapterCount(model) ? planRules.adapterGain : 0;
  return Math.max(0, -late) + insurance + adapters + soonerS * asked.perSecond;
}
