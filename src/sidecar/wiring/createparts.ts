import type { Admission, Context, Residency, RunOnce } from '../part/index.js';
import { createAdmission } from './createadmission.js';
import { createResidency } from './createresidency.js';
import { createRunOnce } from './createrunonce.js';

/** The parts of one sidecar. */
interface Parts {
  readonly admission: Admission;
  readonly residency: Residency;
  readonly runOnce: RunOnce;
}

/** Builds each part of a sidecar from its context. */
export function createParts(context: Context): Parts {
  return {
    admission: createAdmission(context),
    residency: createResidency(context),
    runOnce: createRunOnce(context),
  };
}
