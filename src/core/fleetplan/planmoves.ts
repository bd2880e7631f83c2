import type { ModelId } from '../../base/index.js';
import { bestSite } from './bestsite.js';
import { Census } from './census.js';
import { gainOf } from './gainof.js';
import type { Move } from './move.js';
import type { PlanInput } from './planinput.js';

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

/** The moves worth making now, the most urgent first; at most one an upstream. */
export function planMoves(input: PlanInput, mostMoves: number): readonly Move[] {
  const moves: Move[] = [];
  const hopeless = new Set<ModelId>();
  let current = input;
  while (moves.length < mostMoves) {
    const census = new Census(current);
    let wanted: { model: ModelId; gain: number } | undefined;
    for (const model of current.engine.models.keys()) {
      if (hopeless.has(model)) continue;
      const gain = gainOf(current, census, model);
      if (gain > (wanted?.gain ?? 0)) wanted = { model, gain };
    }
    if (!wanted) return moves;
    const { model, gain } = wanted;
    const move = bestSite(current, census, model, gain, current.coldLoadsLeft);
    if (!move) {
      hopeless.add(model);
      continue;
    }
    moves.push(move);
    current = without(current, move);
  }
  return moves;
}
