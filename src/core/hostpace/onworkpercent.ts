import type { Ms } from '../../base/index.js';
import { isPlausible } from './isplausible.js';
import type { Pace } from './pace.js';

const PERCENT = 100;
/** Time constant of the average: several times longer than a slowdown by other work on the host. */
const AVERAGE_MS = 3000;

/** Updates a pace by a report; an implausible one changes nothing. */
export function onWorkPercent(pace: Pace, percent: number, nowMs: Ms): Pace {
  if (!isPlausible(percent)) return pace;
  const reported = percent / PERCENT;
  const elapsedMs = Math.max(0, nowMs - pace.reportedAtMs);
  const share = 1 - Math.exp(-elapsedMs / AVERAGE_MS);
  const average = pace.average + (reported - pace.average) * share;
  return { ...pace, average, reported, reportedAtMs: nowMs };
}
