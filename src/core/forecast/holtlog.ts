import type { Forecaster } from './forecaster.js';

/** Level and trend of the logarithm of a rate. */
interface HoltLog {
  readonly level: number;
  /** Change of the level in a second. */
  readonly trend: number;
}

const LEVEL_MS = 6_000;
const TREND_MS = 20_000;
/** Rates are compared above this floor, so that zero has a logarithm. */
const FLOOR = 0.01;
/** Time after which a trend has spent itself. */
const DAMPING_SECONDS = 10;
const MS_PER_SECOND = 1_000;

/** Holt's linear method on the logarithm with a damped trend: demand grows and shrinks by factors. */
export const holtLog: Forecaster<HoltLog> = {
  start: { level: Math.log(FLOOR), trend: 0 },
  observe({ level, trend }, rate, elapsedMs) {
    const seconds = elapsedMs / MS_PER_SECOND;
    const expected = level + trend * seconds;
    const seen = Math.log(rate + FLOOR);
    const next = expected + (seen - expected) * (1 - Math.exp(-elapsedMs / LEVEL_MS));
    const slope = (next - level) / Math.max(seconds, 1 / MS_PER_SECOND);
    return { level: next, trend: trend + (slope - trend) * (1 - Math.exp(-elapsedMs / TREND_MS)) };
  },
  predict({ level, trend }, aheadMs) {
    const seconds = aheadMs / MS_PER_SECOND;
    const spent = DAMPING_SECONDS * (1 - Math.exp(-seconds / DAMPING_SECONDS));
    return Math.max(0, Math.exp(level + Math.max(0, trend) * spent) - FLOOR);
  },
};
