import { smooth } from '../forecast/index.js';
import { plannerWith } from './plannerwith.js';

/** The planner that the daemon runs: see docs/POLICY.md for what was compared. */
export const stepPlanner = plannerWith({
  forecaster: smooth,
  spares: 'last',
});
