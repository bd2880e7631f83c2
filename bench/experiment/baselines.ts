import { fifo } from './baseline/fifo.js';
import { leastConnections } from './baseline/leastconnections.js';
import { loadOnDemand } from './baseline/loadondemand.js';
import { roundRobin } from './baseline/roundrobin.js';
import { staticPlacement } from './baseline/staticplacement.js';
import type { PolicySet } from './policyset.js';

const QUEUES = [
  { name: 'fifo', queue: fifo({ expires: false }) },
  { name: 'fifo, expiring', queue: fifo({ expires: true }) },
];

const ROUTES = [
  { name: 'round robin', route: roundRobin },
  { name: 'least connections', route: leastConnections },
];

const PLACEMENTS = [
  { name: 'static', placement: staticPlacement },
  { name: 'on demand', placement: loadOnDemand },
];

const COMBINATIONS: readonly PolicySet[] = QUEUES.flatMap((queue) =>
  ROUTES.flatMap((route) =>
    PLACEMENTS.map((placement) => ({
      ...queue,
      ...route,
      ...placement,
      name: `${queue.name} + ${route.name} + ${placement.name}`,
    })),
  ),
);

/** All combinations of the simple policies, and one with fewer slots that keeps the token pace. */
export const baselines: readonly PolicySet[] = [
  ...COMBINATIONS,
  {
    name: 'fifo, expiring, 12 slots + least connections + static',
    queue: fifo({ expires: true }),
    route: leastConnections,
    placement: staticPlacement,
    slotsFactor: 0.75,
  },
];
