import type { ResidencyFailure } from './residencyfailure.js';

/** A failure of an upstream's memory; `retryAfterMs` 0 says that nothing is known. */
export function fail(
  type: ResidencyFailure['type'],
  detail: string,
  retryAfterMs = 0,
): ResidencyFailure {
  return { type, detail, retryAfterMs };
}
