import type { Ms } from '../../base/index.js';
import { engineLimitRules } from './enginelimitrules.js';
import type { LimitState } from './limitstate.js';

const MS_PER_S = 1000;

/** Returns the current limit as a fraction of the engine's slots; after a cut it rises until the next long gap. */
export function maxFill({ fill, changedAtMs }: LimitState, nowMs: Ms): number {
  const raised = fill + ((nowMs - changedAtMs) / MS_PER_S) * engineLimitRules.raisePerS;
  return Math.min(engineLimitRules.maxFill, raised);
}
