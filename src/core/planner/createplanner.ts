import type { PlannerState } from './plannerstate.js';

/** A planner that has seen nothing yet. */
export function createPlanner(): PlannerState {
  return {
    demand: { counted: new Map(), models: new Map() },
    ordered: [],
    young: [],
    sent: new Map(),
    sequence: 0,
    roundAtMs: -Infinity,
  };
}
