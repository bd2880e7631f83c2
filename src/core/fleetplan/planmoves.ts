import { bestSite } from './bestsite.js';
import { Census } from './census.js';
import type { Move } from './move.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';

/** The upstreams without those that a move has just been found for. */
function without(input: PlanInput, move: Move): PlanInput {
  const upstreams = input.upstreams.map((one) => {
    if (one.id !== move.upstream) return one;
    const placed = one.placed.map((held) =>
      move.evicted.includes(held.model) ? { ...held, phase: 'unloading' as const } : held,
    );
    const added = {
      model: move.model,
      phase: 'loading' as const,
      ageMs: 0,
      adapters: new Set<string>(),
    };
    return { ...one, isBusy: true, placed: [...placed, added] };
  });
  const coldLoadsLeft = input.coldLoadsLeft - (move.isFromStore ? 1 : 0);
  return { ...input, upstreams, coldLoadsLeft };
}

/** The move that is worth most now. */
function bestMove(input: PlanInput): Move | undefined {
  const census = new Census(input);
  let best: Move | undefined;
  for (const model of input.engine.models.keys()) {
    const demand = input.demand.get(model);
    const isAbsent = census.heldCount(model) === 0;
    const isAsked = demand !== undefined && demand.concurrency > planRules.leastConcurrency;
    if (!isAbsent && !isAsked) continue;
    const move = bestSite(input, census, model, input.coldLoadsLeft);
    if (!move) continue;
    if (!best || move.gain - move.cost > best.gain - best.cost) best = move;
  }
  return best;
}

/** The moves worth making now, the most urgent first; at most one an upstream. */
export function planMoves(input: PlanInput, mostMoves: number): readonly Move[] {
  const moves: Move[] = [];
  let current = input;
  while (moves.length < mostMoves) {
    const move = bestMove(current);
    if (!move) return moves;
    moves.push(move);
    current = without(current, move);
  }
  return moves;
}
