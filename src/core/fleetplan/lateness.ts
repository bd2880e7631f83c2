import type { ModelDemand } from './modeldemand.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';
import { Spread } from './spread.js';

/** Requests a second: those that stand in a queue count as asked for within the longest time believed. */
function rateOf({ perSecond, concurrency }: ModelDemand): number {
  return Math.max(perSecond, concurrency / planRules.longestRunS);
}

/** Requests that come too late, over all models, within the time that a plan looks ahead. */
export function lateness({ upstreams, demand }: Pick<PlanInput, 'upstreams' | 'demand'>): number {
  const spread = new Spread({ upstreams, demand });
  let late = 0;
  for (const [model, asked] of demand) late += rateOf(asked) * spread.lateShare(model);
  return late * planRules.horizonS;
}
