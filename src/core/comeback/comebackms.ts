import type { Ms } from '../../base/index.js';

/** Parts of a caller's time: callers heed what they are told up to a third of what they have left. */
const FIRST_SHARE = 0.2;
const LAST_SHARE = 0.32;

/**
 * An engine that is full stays so until its model has a further place (1 to 5 s) or the burst is over: callers
 * that were told to come back after the target latency found it full again, 594 of 4,417 on a day whose demand
 * moved on three times. They are spread, and have lost so much of their time that whichever entry they
 * come back to knows them for such and lets them in first. `place` is from 0 to 1, another for each request.
 */
export function comeBackMs(remainingMs: Ms, place: number): Ms {
  return Math.round(Math.max(0, remainingMs) * (FIRST_SHARE + (LAST_SHARE - FIRST_SHARE) * place));
}
