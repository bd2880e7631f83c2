import type { Forecaster } from './forecaster.js';

/** A smoothed rate, and the highest that it was of late. */
interface PeakHold {
  readonly level: number;
  readonly peak: number;
}

/** Time in which the level takes over 63% of a change; shorter bursts are for the queues. */
const LEVEL_MS = 6_000;
/** Time in which a peak loses half of what it stands above the level. */
const PEAK_HALF_LIFE_MS = 60_000;

/** Follows a rise at once and forgets it slowly: demand that has gone tends to come back. */
export const peakHold: Forecaster<PeakHold> = {
  start: { level: 0, peak: 0 },
  observe({ level, peak }, rate, elapsedMs) {
    const next = level + (rate - level) * (1 - Math.exp(-elapsedMs / LEVEL_MS));
    const held = next + (peak - next) * 0.5 ** (elapsedMs / PEAK_HALF_LIFE_MS);
    return { level: next, peak: Math.max(next, held) };
  },
  predict: ({ peak }) => peak,
};
