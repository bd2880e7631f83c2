import type { Forecaster } from './forecaster.js';

/** Time constant of the level: longer than bursts, shorter than shifts of demand. */
const LEVEL_MS = 60_000;

/**
 * Exponential smoothing that ignores bursts which end before a load would. At the start it is the plain mean of all
 * observations, so that a new planner has an estimate at once.
 */
export const smooth: Forecaster<{ readonly level: number; readonly seenMs: number }> = {
  start: { level: 0, seenMs: 0 },
  observe({ level, seenMs }, rate, elapsedMs) {
    const seen = seenMs + elapsedMs;
    const share = Math.max(elapsedMs / seen, 1 - Math.exp(-elapsedMs / LEVEL_MS));
    return { level: level + (rate - level) * share, seenMs: seen };
  },
  predict: ({ level }) => level,
};
