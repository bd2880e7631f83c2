import { smooth } from '../forecast/index.js';
import { plannerWith } from './plannerwith.js';

/** The planner of the daemon. docs/POLICY.md compares the alternatives. */
export const stepPlanner = plannerWith({
  forecaster: smooth,
  spares: 'last',
});
