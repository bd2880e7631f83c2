import type { Ms } from '../../base/index.js';
import type { Pace } from './pace.js';

/** Time in which the entries' common average gives way to the own one: the time constant of that average. */
const SHARED_MS = 3000;

/**
 * Returns the average pace: that of all entries, which see more answers than one does. Without a new one, as when the
 * order lease holder is lost, the own average replaces it gradually, if this entry has one.
 */
export function averagePaceAt({ average, reportedAtMs, shared }: Pace, nowMs: Ms): number {
  if (!shared) return average;
  if (reportedAtMs === -Infinity) return shared.average;
  const weight = Math.exp(-Math.max(0, nowMs - shared.atMs) / SHARED_MS);
  return average + (shared.average - average) * weight;
}
