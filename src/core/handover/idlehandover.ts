import type { HandOverState } from './handoverstate.js';
import type { Limits } from './limits.js';

/** Returns the state before a hand-over begins. */
export function idleHandOver(limits: Limits): HandOverState {
  return { limits, moving: new Map(), sentBytes: 0, untilMs: Infinity };
}
