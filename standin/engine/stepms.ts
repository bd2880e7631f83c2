import type { Curve } from './curve.js';

/** Returns the duration of a decoding step with this many running requests. */
export function stepMs(curve: Curve, running: number): number {
  return curve.stepMs + curve.stepMsPerRequest * Math.max(0, running - 1);
}
