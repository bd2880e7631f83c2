import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Draft } from './draft.js';
import type { PlanInput } from './planinput.js';

function zonesOf(draft: Draft, model: CellModel): ReadonlySet<string> {
  const holders = draft.holdersOf(model.id);
  return new Set(
    draft.bins.filter(({ id }) => holders.includes(id)).map((bin) => bin.availabilityZone),
  );
}

/** Returns the upstream with the most free memory in an availability zone without a replica of the model. */
function siteOf(draft: Draft, model: CellModel): CellUpstream | undefined {
  const zones = zonesOf(draft, model);
  let best: CellUpstream | undefined;
  for (const bin of draft.bins) {
    if (zones.has(bin.availabilityZone) || draft.freeBytes(bin) < model.sizeBytes) continue;
    if (!best || draft.freeBytes(bin) > draft.freeBytes(best)) best = bin;
  }
  return best;
}

/** Adds a second replica in another availability zone, in free memory only, for models with the most demand first. */
export function addSpares(draft: Draft, input: PlanInput): void {
  const value = ({ id, weight }: CellModel) => (input.demand.get(id)?.perSecond ?? 0) * weight;
  const order = [...input.models].sort((a, b) => value(b) - value(a) || (a.id < b.id ? -1 : 1));
  for (const model of order) {
    if (draft.holderCount(model.id) === 0 || zonesOf(draft, model).size > 1) continue;
    const site = siteOf(draft, model);
    if (site) draft.add(site, model, { reason: 'spare', gain: 0, cost: input.movePenalty });
  }
}
