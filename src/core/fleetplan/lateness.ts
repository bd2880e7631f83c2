import type { ModelDemand } from './modeldemand.js';
import { planRules } from './planrules.js';
import { Spread } from './spread.js';

/** Requests a second: those that stand in a queue count as asked for within the longest time believed. */
function rateOf({ perSecond, concurrency }: ModelDemand): number {
  return Math.max(perSecond, concurrency / planRules.longestRunS);
}

/** Requests that come too late, over all models, within the time that a plan looks ahead. */
export function lateness(input: ConstructorParameters<typeof Spread>[0]): number {
  const spread = new Spread(input);
  let late = 0;
  for (const [model, asked] of input.demand) late += rateOf(asked) * spread.lateShare(model);
  return late * planRules.horizonS;
}
