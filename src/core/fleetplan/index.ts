/** Which engine should hold which model, when orders are few and loads take time. */
export type { ModelDemand } from './modeldemand.js';
export type { Move } from './move.js';
export { planMoves } from './planmoves.js';
export type { PlanInput } from './planinput.js';
export type { PlanUpstream } from './planupstream.js';
