import type { ModelId } from '../../base/index.js';
import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Draft } from './draft.js';
import { missedValue } from './missedvalue.js';
import { makeRoom } from './makeroom.js';
import type { PlanInput } from './planinput.js';
import { placementRules } from './placementrules.js';
import { noiseMargin } from './noisemargin.js';
import type { Room } from './room.js';
import { spreadDemand } from './spreaddemand.js';
import type { DemandSpread } from './demandspread.js';

/** An additional replica that takes load off an overloaded upstream. */
interface Relief {
  readonly to: CellUpstream;
  readonly model: CellModel;
  readonly room: Room;
  readonly gain: number;
  readonly cost: number;
}

const { sourcesPerChange, modelsPerSource, targetsPerModel } = placementRules;

function utilization({ id, slots }: CellUpstream, spread: DemandSpread): number {
  return (spread.loadOf.get(id) ?? 0) / Math.max(1, slots);
}

/** Returns the models with the largest load on an upstream. */
function heaviestModels(
  draft: Draft,
  spread: DemandSpread,
  { id }: CellUpstream,
): readonly CellModel[] {
  const shareOf = (model: ModelId) => spread.shareOf.get(model)?.get(id) ?? 0;
  return draft
    .at(id)
    .filter(({ model }) => shareOf(model) > 0)
    .sort((a, b) => shareOf(b.model) - shareOf(a.model))
    .slice(0, modelsPerSource)
    .flatMap(({ model }) => draft.models.get(model) ?? []);
}

/** Returns the least utilized upstreams that can make room for a model. */
function targetsFor(
  draft: Draft,
  input: PlanInput,
  spread: DemandSpread,
  model: CellModel,
  byUtilization: readonly CellUpstream[],
): readonly { readonly to: CellUpstream; readonly room: Room }[] {
  const found: { readonly to: CellUpstream; readonly room: Room }[] = [];
  for (const to of byUtilization) {
    if (found.length >= targetsPerModel) break;
    if (draft.entry(to.id, model.id)) continue;
    const room = makeRoom(draft, input, spread, to, model.sizeBytes, false);
    if (room) found.push({ to, room });
  }
  return found;
}

function bestRelief(draft: Draft, input: PlanInput): Relief | undefined {
  const { demand, movePenalty } = input;
  const spread = spreadDemand(draft, demand);
  const before = missedValue(draft, demand, spread);
  const byUtilization = [...draft.bins].sort(
    (a, b) => utilization(a, spread) - utilization(b, spread),
  );
  const missedAt = ({ id }: CellUpstream) => before.byBin.get(id) ?? 0;
  const sources = [...draft.bins]
    .sort((a, b) => missedAt(b) - missedAt(a))
    .slice(0, sourcesPerChange);
  const margin = noiseMargin(draft, demand);
  let best: Relief | undefined;
  for (const from of sources) {
    // Even removing all missed answers here would not pay for a single move.
    if (missedAt(from) <= movePenalty * placementRules.hysteresis + margin) break;
    for (const model of heaviestModels(draft, spread, from)) {
      for (const { to, room } of targetsFor(draft, input, spread, model, byUtilization)) {
        if (utilization(to, spread) >= utilization(from, spread)) continue;
        const after = draft.evaluate(to, model, room.evicted, () =>
          missedValue(draft, demand, spreadDemand(draft, demand)),
        );
        const gain = before.total - after.total;
        const cost = movePenalty * (1 + room.evicted.length);
        const better = gain - cost > (best ? best.gain - best.cost : 0);
        const moves = 1 + room.evicted.length;
        if (better && gain > cost * placementRules.hysteresis + moves * margin) {
          best = { to, model, room, gain, cost };
        }
      }
    }
  }
  return best;
}

/** Adds replicas of models on overloaded upstreams, as long as each gains more than its moves cost. */
export function relieve(draft: Draft, input: PlanInput): void {
  for (let change = 0; change < placementRules.changesPerPlan; change += 1) {
    const relief = bestRelief(draft, input);
    if (!relief) return;
    const { to, model, room, gain, cost } = relief;
    for (const evicted of room.evicted) draft.drop(to.id, evicted);
    draft.add(to, model, { reason: 'demand', gain, cost });
  }
}
