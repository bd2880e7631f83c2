import type { PlannerState } from './plannerstate.js';

/** Creates the initial state of a planner. */
export function createPlanner(): PlannerState {
  return {
    demand: { counted: new Map(), models: new Map() },
    ordered: [],
    recent: [],
    sent: new Map(),
    sequence: 0,
    roundAtMs: -Infinity,
  };
}
