import type { Ms } from '../../base/index.js';
import { limitRules } from './limitrules.js';
import type { LimitState } from './limitstate.js';

const MS_PER_S = 1000;

/** How far an engine may be filled now: a cut limit rises again while no gap comes near the target. */
export function mostFill({ fill, changedAtMs }: LimitState, nowMs: Ms): number {
  const raised = fill + ((nowMs - changedAtMs) / MS_PER_S) * limitRules.raisePerS;
  return Math.min(limitRules.most, raised);
}
