/** The planner of one cell: estimates demand, plans replicas, and tracks the loads that it has ordered. */
export type { Cell } from './cell.js';
export type { Counter } from './counter.js';
export { createPlanner } from './createplanner.js';
export type { PlannerEffect } from './plannereffect.js';
export type { PlannerEvent } from './plannerevent.js';
export type { PlannerState } from './plannerstate.js';
export { plannerWith } from './plannerwith.js';
export { stepPlanner } from './stepplanner.js';
