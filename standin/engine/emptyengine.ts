import type { EngineState } from './enginestate.js';

/** State of an engine that has just started. */
export const emptyEngine: EngineState = {
  restarts: 0,
  highestFencingToken: 0,
  seenOrderIds: new Set(),
  settledOrderIds: [],
  residents: [],
  role: 'mixed',
  requests: new Map(),
  cache: { blocks: new Set(), lastSequence: 0, events: [] },
  stepEndsAtMs: undefined,
  counts: {
    overcommits: 0,
    loads: 0,
    unloads: 0,
    adapterLoads: 0,
    adapterUnloads: 0,
    busyMs: 0,
    prefillTokens: 0,
    tokens: 0,
  },
};
