import type { ModelId } from '../../base/index.js';
import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Draft } from './draft.js';
import { lostValue } from './lostvalue.js';
import { makeRoom } from './makeroom.js';
import type { PlanInput } from './planinput.js';
import { placementRules } from './placementrules.js';
import { noiseOf } from './noiseof.js';
import type { Room } from './room.js';
import { spread } from './spread.js';
import type { Spread } from './spreadresult.js';

/** A further replica that takes load from an upstream that has too much. */
interface Relief {
  readonly to: CellUpstream;
  readonly model: CellModel;
  readonly room: Room;
  readonly gain: number;
  readonly cost: number;
}

const { sourcesPerChange, modelsPerSource, targetsPerModel } = placementRules;

function useOf({ id, slots }: CellUpstream, flow: Spread): number {
  return (flow.loadOf.get(id) ?? 0) / Math.max(1, slots);
}

/** The models that use most of an upstream. */
function heaviest(draft: Draft, flow: Spread, { id }: CellUpstream): readonly CellModel[] {
  const shareOf = (model: ModelId) => flow.shareOf.get(model)?.get(id) ?? 0;
  return draft
    .at(id)
    .filter(({ model }) => shareOf(model) > 0)
    .sort((a, b) => shareOf(b.model) - shareOf(a.model))
    .slice(0, modelsPerSource)
    .flatMap(({ model }) => draft.models.get(model) ?? []);
}

/** The least used upstreams that can make room for a model. */
function targets(
  draft: Draft,
  input: PlanInput,
  flow: Spread,
  model: CellModel,
  byUse: readonly CellUpstream[],
): readonly { readonly to: CellUpstream; readonly room: Room }[] {
  const found: { readonly to: CellUpstream; readonly room: Room }[] = [];
  for (const to of byUse) {
    if (found.length >= targetsPerModel) break;
    if (draft.entry(to.id, model.id)) continue;
    const room = makeRoom(draft, input, flow, to, model.sizeBytes, false);
    if (room) found.push({ to, room });
  }
  return found;
}

function bestRelief(draft: Draft, input: PlanInput): Relief | undefined {
  const { demand, movePenalty } = input;
  const flow = spread(draft, demand);
  const before = lostValue(draft, demand, flow);
  const byUse = [...draft.bins].sort((a, b) => useOf(a, flow) - useOf(b, flow));
  const lostAt = ({ id }: CellUpstream) => before.byBin.get(id) ?? 0;
  const sources = [...draft.bins].sort((a, b) => lostAt(b) - lostAt(a)).slice(0, sourcesPerChange);
  const noise = noiseOf(draft, demand);
  let best: Relief | undefined;
  for (const from of sources) {
    // Nothing can be gained here that pays for a single move.
    if (lostAt(from) <= movePenalty * placementRules.hysteresis + noise) break;
    for (const model of heaviest(draft, flow, from)) {
      for (const { to, room } of targets(draft, input, flow, model, byUse)) {
        if (useOf(to, flow) >= useOf(from, flow)) continue;
        const after = draft.tryOut(to, model, room.evicted, () =>
          lostValue(draft, demand, spread(draft, demand)),
        );
        const gain = before.total - after.total;
        const cost = movePenalty * (1 + room.evicted.length);
        const better = gain - cost > (best ? best.gain - best.cost : 0);
        const moves = 1 + room.evicted.length;
        if (better && gain > cost * placementRules.hysteresis + moves * noise) {
          best = { to, model, room, gain, cost };
        }
      }
    }
  }
  return best;
}

/** Adds replicas where upstreams will miss answers, while each replica pays for its moves. */
export function relieve(draft: Draft, input: PlanInput): void {
  for (let change = 0; change < placementRules.changesPerPlan; change += 1) {
    const relief = bestRelief(draft, input);
    if (!relief) return;
    const { to, model, room, gain, cost } = relief;
    for (const evicted of room.evicted) draft.drop(to.id, evicted);
    draft.add(to, model, { reason: 'demand', gain, cost });
  }
}
