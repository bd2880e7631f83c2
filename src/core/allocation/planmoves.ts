import type { Move } from './move.js';
import { Plan } from './plan.js';
import type { PlanInput } from './planinput.js';

/** A whole plan at once, for those whom its time does not hold up. */
export function planMoves(input: PlanInput, mostMoves: number): readonly Move[] {
  const plan = new Plan(input);
  while (plan.moves.length < mostMoves && !plan.step());
  return plan.moves;
}
