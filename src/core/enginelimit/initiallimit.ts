import type { LimitState } from './limitstate.js';
import { engineLimitRules } from './enginelimitrules.js';

/** Returns the limit of an engine that has not been observed yet. */
export function initialLimit(): LimitState {
  return { fill: engineLimitRules.maxFill, changedAtMs: -Infinity };
}
