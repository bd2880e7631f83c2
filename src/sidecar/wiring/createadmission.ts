import { FifoAdmission } from '../fifoadmission.js';
import type { Admission, Context } from '../part/index.js';

/** Admission of this sidecar. */
export function createAdmission({ settings }: Context): Admission {
  return new FifoAdmission(settings.slots);
}
