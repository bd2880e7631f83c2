import type { ModelId } from '../../base/index.js';
import type { CellUpstream } from './cellupstream.js';
import type { Draft } from './draft.js';
import type { PlanInput } from './planinput.js';
import { placementRules } from './placementrules.js';
import type { Room } from './room.js';
import type { DemandSpread } from './demandspread.js';
import { slotValue } from './slotvalue.js';

/** Returns the value of the demand that the other replicas cannot absorb, plus the outage risk of one replica fewer. */
function evictionLoss(
  draft: Draft,
  { demand }: PlanInput,
  spread: DemandSpread,
  bin: CellUpstream,
  model: ModelId,
): number {
  const slotsOf = new Map(draft.bins.map(({ id, slots }) => [id, slots]));
  const share = spread.shareOf.get(model)?.get(bin.id) ?? 0;
  let spare = 0;
  for (const holder of draft.holdersOf(model)) {
    if (holder === bin.id) continue;
    const usable = placementRules.targetShare * (slotsOf.get(holder) ?? 0);
    spare += Math.max(0, usable - (spread.loadOf.get(holder) ?? 0));
  }
  const wanted = demand.get(model);
  const perSecond = (wanted?.perSecond ?? 0) * (draft.models.get(model)?.weight ?? 0);
  const risk = draft.holderCount(model) > 2 ? 0 : perSecond * placementRules.outageSeconds;
  return Math.max(0, share - spare) * slotValue(draft, model, wanted) + risk;
}

/**
 * Finds the cheapest replicas to evict from an upstream so that `sizeBytes` fit. Considers only replicas whose model
 * is ready elsewhere too, and recent ones only if `urgent`. Undefined if there is not enough room.
 */
export function makeRoom(
  draft: Draft,
  input: PlanInput,
  spread: DemandSpread,
  bin: CellUpstream,
  sizeBytes: number,
  urgent: boolean,
): Room | undefined {
  let missingBytes = sizeBytes - draft.freeBytes(bin);
  if (missingBytes <= 0) return { evicted: [], cost: 0 };
  const isRecent = (model: ModelId) =>
    input.recent.some((place) => place.upstream === bin.id && place.model === model);
  const candidates = draft
    .at(bin.id)
    .filter(({ model, ready }) => draft.readyCount(model) - (ready ? 1 : 0) > 0)
    .filter(({ reason, model }) => reason !== 'ordered' && (urgent || !isRecent(model)))
    .map((entry) => ({ entry, loss: evictionLoss(draft, input, spread, bin, entry.model) }))
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
