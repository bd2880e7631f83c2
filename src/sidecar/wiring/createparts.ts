import type { Context } from '../part/index.js';
import type { Parts } from '../parts.js';
import { createAdmission } from './createadmission.js';
import { createResidency } from './createresidency.js';
import { createRunOnce } from './createrunonce.js';

/** Creates the parts of a sidecar. */
export function createParts(context: Context): Parts {
  const residency = createResidency(context);
  return {
    residency,
    admission: createAdmission(context, residency),
    runOnce: createRunOnce(context),
  };
}
