/**
 * Which engine should hold which model, when orders are few and loads take time. Input: what each engine holds and
 * what is asked of each model. A plan never overfills an engine, takes no model from one that carries out an order,
 * and begins no more loads from the weight store than are left.
 */
export type { ModelDemand } from './modeldemand.js';
export type { Move } from './move.js';
export { Plan } from './plan.js';
export { planMoves } from './planmoves.js';
export type { PlanInput } from './planinput.js';
export type { PlanUpstream } from './planupstream.js';
