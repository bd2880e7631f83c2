import type { Forecaster } from './forecaster.js';

/** Time that the level stands for: longer than bursts, shorter than shifts. */
const LEVEL_MS = 60_000;

/**
 * A smoothed rate: it lets bursts pass that are over before a load would be. Until so much time has been
 * seen, it is the plain mean of all that was, so that a new planner knows demand at once.
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
