import { refuse } from '../../core/refusal/index.js';
import type { ResidencyFailure } from '../../core/residency/index.js';
import type { Refusal } from '../../wire/index.js';

/** Converts a residency failure into a refusal: the request was not run and has a retry-after time. */
export function refusalOf({ type, detail, retryAfterMs }: ResidencyFailure): Refusal {
  return refuse(type, detail, { retryAfterMs });
}
