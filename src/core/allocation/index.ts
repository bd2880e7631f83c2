/**
 * Decides which engine holds which model, where each engine executes one order at a time and loads take seconds.
 * Input: the models of each engine and the demand for each model. A plan never exceeds an engine's memory, evicts
 * nothing from an engine with an order under way, and starts at most `coldLoadsLeft` loads from the weight store.
 */
export { heldMb } from './heldmb.js';
export { idleReasons } from './idlereasons.js';
export type { ModelDemand } from './modeldemand.js';
export type { Move } from './move.js';
export { Plan } from './plan.js';
export { planMoves } from './planmoves.js';
export type { PlanInput } from './planinput.js';
export type { PlanUpstream } from './planupstream.js';
