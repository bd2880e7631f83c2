import type { Curve } from './curve.js';

/** Time of one decoding step with so many running requests. */
export function stepMs(curve: Curve, running: number): number {
  return curve.stepMs + curve.stepMsPerRequest * Math.max(0, running - 1);
}
