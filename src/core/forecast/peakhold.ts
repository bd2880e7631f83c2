import type { Forecaster } from './forecaster.js';

/** A smoothed rate and its decaying recent peak. */
interface PeakHold {
  readonly level: number;
  readonly peak: number;
}

/** Time constant of the level (63 % of a step change); queues absorb shorter bursts. */
const LEVEL_MS = 6_000;
/** Half-life of a peak's excess over the level. */
const PEAK_HALF_LIFE_MS = 60_000;

/** Follows rises quickly and decays slowly, as demand that has dropped tends to return. */
export const peakHold: Forecaster<PeakHold> = {
  start: { level: 0, peak: 0 },
  observe({ level, peak }, rate, elapsedMs) {
    const next = level + (rate - level) * (1 - Math.exp(-elapsedMs / LEVEL_MS));
    const held = next + (peak - next) * 0.5 ** (elapsedMs / PEAK_HALF_LIFE_MS);
    return { level: next, peak: Math.max(next, held) };
  },
  predict: ({ peak }) => peak,
};
