import { refuse } from '../../core/refusal/index.js';
import type { ResidencyFailure } from '../../core/residency/index.js';
import type { Refusal } from '../../wire/index.js';

/** A refusal for the wire: nothing was run, and the caller is told when to come back. */
export function refusalOf({ type, detail, retryAfterMs }: ResidencyFailure): Refusal {
  return refuse(type, detail, { retryAfterMs });
}
