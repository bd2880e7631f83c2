import { fail } from './fail.js';
import type { ResidencyFailure } from './residencyfailure.js';

/** Returns the failure of a sidecar that a later one has replaced. */
export function superseded(): ResidencyFailure {
  return fail('incarnation-superseded', 'Another sidecar has taken this upstream.');
}
