/** The planner of an entry: holds the planner leases, plans the cells of each service, and sends plans to sidecars. */
export { explain } from './explain.js';
export { Planner } from './planner.js';
