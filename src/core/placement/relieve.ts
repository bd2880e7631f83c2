import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Draft } from './draft.js';
import { makeRoom } from './makeroom.js';
import type { PlanInput } from './planinput.js';
import { placementRules } from './placementrules.js';
import type { Room } from './room.js';
import { spread } from './spread.js';
import type { Spread } from './spreadresult.js';
import { worth } from './worth.js';

/** A further replica that takes load from an upstream that has too much. */
interface Relief {
  readonly to: CellUpstream;
  readonly model: CellModel;
  readonly room: Room;
  readonly gain: number;
  readonly cost: number;
}

function excessOf(bin: CellUpstream, flow: Spread): number {
  return (flow.loadOf.get(bin.id) ?? 0) - placementRules.targetShare * bin.slots;
}

function reliefOf(
  draft: Draft,
  input: PlanInput,
  flow: Spread,
  from: CellUpstream,
  to: CellUpstream,
  model: CellModel,
): Relief | undefined {
  if (draft.entry(to.id, model.id)) return undefined;
  const share = flow.shareOf.get(model.id)?.get(from.id) ?? 0;
  const busy = Math.min(share, excessOf(from, flow), -excessOf(to, flow));
  const gain = busy * worth(draft, model.id, input.demand.get(model.id));
  if (gain <= input.movePenalty * placementRules.hysteresis) return undefined;
  const room = makeRoom(draft, input, flow, to, model.sizeBytes, false);
  if (!room) return undefined;
  const cost = room.cost + input.movePenalty;
  return gain > cost * placementRules.hysteresis ? { to, model, room, gain, cost } : undefined;
}

function bestRelief(draft: Draft, input: PlanInput, flow: Spread): Relief | undefined {
  let best: Relief | undefined;
  const takers = draft.bins.filter((bin) => excessOf(bin, flow) < 0);
  for (const from of draft.bins) {
    if (excessOf(from, flow) <= 0) continue;
    for (const { model: id } of draft.at(from.id)) {
      const model = draft.models.get(id);
      if (!model) continue;
      for (const to of takers) {
        const relief = reliefOf(draft, input, flow, from, to, model);
        if (relief && relief.gain - relief.cost > (best ? best.gain - best.cost : 0)) best = relief;
      }
    }
  }
  return best;
}

/** Adds replicas where forecast demand exceeds what upstreams can carry, while each pays for its moves. */
export function relieve(draft: Draft, input: PlanInput): void {
  for (let change = 0; change < placementRules.changesPerPlan; change += 1) {
    const relief = bestRelief(draft, input, spread(draft, input.demand));
    if (!relief) return;
    const { to, model, room, gain, cost } = relief;
    for (const evicted of room.evicted) draft.drop(to.id, evicted);
    draft.add(to, model, { reason: 'demand', gain, cost });
  }
}
