import { corePlacement } from './coreplacement.js';
import { coreQueue } from './corequeue.js';
import { coreRoute } from './coreroute.js';
import type { PolicySet } from './policyset.js';

/** The policies of the entry, the sidecar and the planner. */
export const corePolicies: PolicySet = {
  name: 'tarragonstile',
  queue: coreQueue,
  route: coreRoute,
  placement: corePlacement(),
};
