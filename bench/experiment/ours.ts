import { leastConnections } from './baseline/leastconnections.js';
import { staticPlacement } from './baseline/staticplacement.js';
import { coreQueue } from './corequeue.js';
import type { PolicySet } from './policyset.js';

/** The decision cores of the daemons. */
export const ours: PolicySet = {
  name: 'tarragonstile',
  queue: coreQueue,
  route: leastConnections,
  placement: staticPlacement,
};
