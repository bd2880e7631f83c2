import type { Curve } from './curve.js';

/** Sixteen requests at once just hold the goal of 53 ms between tokens. */
export const defaultCurve: Curve = {
  prefillTokenMs: 0.25,
  stepMs: 12,
  stepMsPerRequest: 2.6,
  loadBytesPerMs: 8_000_000,
};
