import type { ModelId } from '../../base/index.js';
import type { CellUpstream } from './cellupstream.js';
import type { Draft } from './draft.js';
import type { PlanInput } from './planinput.js';
import { placementRules } from './placementrules.js';
import type { Room } from './room.js';
import type { Spread } from './spreadresult.js';
import { worth } from './worth.js';

/** Demand that the other replicas could not carry without this one, and the risk of one place less. */
function lossOf(
  draft: Draft,
  { demand }: PlanInput,
  flow: Spread,
  bin: CellUpstream,
  model: ModelId,
): number {
  const slotsOf = new Map(draft.bins.map(({ id, slots }) => [id, slots]));
  const share = flow.shareOf.get(model)?.get(bin.id) ?? 0;
  let room = 0;
  for (const holder of draft.holdersOf(model)) {
    if (holder === bin.id) continue;
    const usable = placementRules.targetShare * (slotsOf.get(holder) ?? 0);
    room += Math.max(0, usable - (flow.loadOf.get(holder) ?? 0));
  }
  const wanted = demand.get(model);
  const perSecond = (wanted?.perSecond ?? 0) * (draft.models.get(model)?.weight ?? 0);
  const risk = draft.holderCount(model) > 2 ? 0 : perSecond * placementRules.outageSeconds;
  return Math.max(0, share - room) * worth(draft, model, wanted) + risk;
}

/**
 * Finds the cheapest replicas to give up at an upstream. Only those whose model is ready elsewhere too;
 * young ones only if `urgent`. Undefined if there is no way.
 */
export function makeRoom(
  draft: Draft,
  input: PlanInput,
  flow: Spread,
  bin: CellUpstream,
  sizeBytes: number,
  urgent: boolean,
): Room | undefined {
  let missingBytes = sizeBytes - draft.freeBytes(bin);
  if (missingBytes <= 0) return { evicted: [], cost: 0 };
  const isYoung = (model: ModelId) =>
    input.young.some((place) => place.upstream === bin.id && place.model === model);
  const candidates = draft
    .at(bin.id)
    .filter(({ model, ready }) => draft.readyCount(model) - (ready ? 1 : 0) > 0)
    .filter(({ reason, model }) => reason !== 'ordered' && (urgent || !isYoung(model)))
    .map((entry) => ({ entry, loss: lossOf(draft, input, flow, bin, entry.model) }))
    .sort((a, b) => a.loss - b.loss || (a.entry.model < b.entry.model ? -1 : 1));
  const evicted: ModelId[] = [];
  let cost = 0;
  for (const { entry, loss } of candidates) {
    if (missingBytes <= 0) break;
    evicted.push(entry.model);
    missingBytes -= entry.sizeBytes;
    cost += loss + input.movePenalty;
  }
  return missingBytes <= 0 ? { evicted, cost } : undefined;
}
