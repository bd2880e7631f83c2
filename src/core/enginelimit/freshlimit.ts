import type { LimitState } from './limitstate.js';
import { limitRules } from './limitrules.js';

/** The limit of an engine of which nothing is known yet. */
export function freshLimit(): LimitState {
  return { fill: limitRules.most, changedAtMs: -Infinity };
}
