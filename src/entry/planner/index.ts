/** The planner of an entry: holds the lease, plans each service's cells, and sends the plans. */
export { explain } from './explain.js';
export { Planner } from './planner.js';
