import type { HandOverState } from './handoverstate.js';
import type { HandOverLimits } from './handoverlimits.js';

/** Returns the state before a hand-over begins. */
export function idleHandOver(limits: HandOverLimits): HandOverState {
  return { limits, moving: new Map(), sentBytes: 0, untilMs: Infinity };
}
