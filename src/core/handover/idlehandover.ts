import type { HandOverState } from './handoverstate.js';
import type { Limits } from './limits.js';

/** A hand-over that has not begun. */
export function idleHandOver(limits: Limits): HandOverState {
  return { limits, moving: new Map(), sentBytes: 0, untilMs: Infinity };
}
