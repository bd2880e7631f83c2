import type { Forecaster } from './forecaster.js';

/** Level and trend of the logarithm of the rate. */
interface HoltLog {
  readonly level: number;
  /** Change of the level per second. */
  readonly trend: number;
}

const LEVEL_MS = 6_000;
const TREND_MS = 20_000;
/** Added to rates before taking the logarithm, which is undefined for 0. */
const FLOOR = 0.01;
/** Time constant with which the trend decays. */
const DAMPING_SECONDS = 10;
const MS_PER_SECOND = 1_000;

/** Holt's linear method with a damped trend, on the logarithm: demand grows and shrinks by factors. */
export const holtLog: Forecaster<HoltLog> = {
  start: { level: Math.log(FLOOR), trend: 0 },
  observe({ level, trend }, rate, elapsedMs) {
    const seconds = elapsedMs / MS_PER_SECOND;
    const expected = level + trend * seconds;
    const observed = Math.log(rate + FLOOR);
    const next = expected + (observed - expected) * (1 - Math.exp(-elapsedMs / LEVEL_MS));
    const slope = (next - level) / Math.max(seconds, 1 / MS_PER_SECOND);
    return { level: next, trend: trend + (slope - trend) * (1 - Math.exp(-elapsedMs / TREND_MS)) };
  },
  predict({ level, trend }, aheadMs) {
    const seconds = aheadMs / MS_PER_SECOND;
    const damped = DAMPING_SECONDS * (1 - Math.exp(-seconds / DAMPING_SECONDS));
    return Math.max(0, Math.exp(level + Math.max(0, trend) * damped) - FLOOR);
  },
};
