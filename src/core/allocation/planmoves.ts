import type { Move } from './move.js';
import { Plan } from './plan.js';
import type { PlanInput } from './planinput.js';

/** Computes a plan in one call, up to `mostMoves` moves. Blocks the event loop meanwhile. */
export function planMoves(input: PlanInput, mostMoves: number): readonly Move[] {
  const plan = new Plan(input);
  while (plan.moves.length < mostMoves && !plan.step());
  return plan.moves;
}
