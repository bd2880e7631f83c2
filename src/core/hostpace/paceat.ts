import type { Ms } from '../../base/index.js';
import { averagePaceAt } from './averagepaceat.js';
import type { Pace } from './pace.js';

/** Hosts that share their processors change their pace every few hundred ms, so a report is soon outdated. */
const HALF_LIFE_MS = 150;

/** Returns the expected pace now: the last report, which decays towards the average. */
export function paceAt(pace: Pace, nowMs: Ms): number {
  const { reported, reportedAtMs } = pace;
  const average = averagePaceAt(pace, nowMs);
  const weight = 0.5 ** (Math.max(0, nowMs - reportedAtMs) / HALF_LIFE_MS);
  return average + (reported - average) * weight;
}
