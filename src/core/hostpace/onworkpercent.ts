import type { Ms } from '../../base/index.js';
import type { Pace } from './pace.js';

/** Figures outside this range are not plausible: no host is a hundred times slower than usual and still answers. */
const MIN_PERCENT = 10;
const MAX_PERCENT = 1000;
const PERCENT = 100;
/** Time constant of the average: several times longer than a slowdown by other work on the host. */
const AVERAGE_MS = 3000;

/** Updates a pace by a report; an implausible one changes nothing. */
export function onWorkPercent(pace: Pace, percent: number, nowMs: Ms): Pace {
  if (!(percent >= MIN_PERCENT && percent <= MAX_PERCENT)) return pace;
  const reported = percent / PERCENT;
  const elapsedMs = Math.max(0, nowMs - pace.reportedAtMs);
  const share = 1 - Math.exp(-elapsedMs / AVERAGE_MS);
  const average = pace.average + (reported - pace.average) * share;
  return { average, reported, reportedAtMs: nowMs };
}
