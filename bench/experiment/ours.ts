import { corePlacement } from './coreplacement.js';
import { coreQueue } from './corequeue.js';
import { coreRoute } from './coreroute.js';
import type { PolicySet } from './policyset.js';

/** The decision cores of the daemons. */
export const ours: PolicySet = {
  name: 'tarragonstile',
  queue: coreQueue,
  route: coreRoute,
  placement: corePlacement(),
};
