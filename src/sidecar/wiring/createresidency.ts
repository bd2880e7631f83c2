import { OpenResidency } from '../openresidency.js';
import type { Context, Residency } from '../part/index.js';

/** Memory of this sidecar's upstream. */
export function createResidency(_context: Context): Residency {
  return new OpenResidency();
}
