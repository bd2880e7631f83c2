import type { Ms } from '../../base/index.js';
import { isPlausible } from './isplausible.js';
import type { Pace } from './pace.js';

const PERCENT = 100;

/**
 * Records the average of all entries. It is kept apart from the own average: if it were mixed in, entries would report
 * each other's figures back as their own.
 */
export function onSharedPercent(pace: Pace, percent: number, nowMs: Ms): Pace {
  if (!isPlausible(percent)) return pace;
  return { ...pace, shared: { average: percent / PERCENT, atMs: nowMs } };
}
