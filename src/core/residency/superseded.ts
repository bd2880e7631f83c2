import { fail } from './fail.js';
import type { ResidencyFailure } from './residencyfailure.js';

/** The failure of a sidecar that another one has followed. */
export function superseded(): ResidencyFailure {
  return fail('incarnation-superseded', 'Another sidecar has taken this upstream.');
}
