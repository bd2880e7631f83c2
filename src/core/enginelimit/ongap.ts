import type { Ms } from '../../base/index.js';
import { limitRules } from './limitrules.js';
import type { LimitState } from './limitstate.js';
import { mostFill } from './mostfill.js';

/** A gap between two events of a stream. */
interface Gap {
  readonly gapMs: Ms;
  /** A longer one makes the answer late. */
  readonly targetMs: Ms;
  /** How far the engine is filled now. */
  readonly fill: number;
}

/**
 * Cuts the limit after a gap that was too long, as TCP does after a loss. An engine of 64 slots answers about as
 * many requests a second with 30 of them as with 85 (17 and 20), but 70 in 100 of them in time in place of 20.
 */
export function onGap(state: LimitState, { gapMs, targetMs, fill }: Gap, nowMs: Ms): LimitState {
  if (gapMs < targetMs * limitRules.nearTarget) return state;
  if (nowMs - state.changedAtMs < limitRules.cutEveryMs) return state;
  const cut = Math.min(mostFill(state, nowMs), fill) * limitRules.cutShare;
  return { fill: Math.max(limitRules.least, cut), changedAtMs: nowMs };
}
