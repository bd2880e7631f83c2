import type { ResidencyFailure } from './residencyfailure.js';

/** Creates a residency failure; `retryAfterMs` is 0 if no retry-after time is known. */
export function fail(
  type: ResidencyFailure['type'],
  detail: string,
  retryAfterMs = 0,
): ResidencyFailure {
  return { type, detail, retryAfterMs };
}
