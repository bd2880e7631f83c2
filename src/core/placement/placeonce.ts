import type { ModelId } from '../../base/index.js';
import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Draft } from './draft.js';
import { makeRoom } from './makeroom.js';
import type { PlanInput } from './planinput.js';
import type { Room } from './room.js';
import { spread } from './spread.js';
import type { Spread } from './spreadresult.js';

/** Part of the free memory from which packing matters more than load. */
const TIGHT_SHARE = 0.6;

interface Site {
  readonly bin: CellUpstream;
  readonly room: Room;
  readonly share: number;
}

/** How much of its slots and of its memory an upstream gives away already. */
function shareOf(draft: Draft, flow: Spread, bin: CellUpstream): number {
  const slots = (flow.loadOf.get(bin.id) ?? 0) / Math.max(1, bin.slots);
  return slots + 1 - draft.freeBytes(bin) / Math.max(1, bin.capacityBytes);
}

function cheapest(
  draft: Draft,
  input: PlanInput,
  flow: Spread,
  model: CellModel,
  tight: boolean,
): Site | undefined {
  let best: Site | undefined;
  for (const bin of draft.bins) {
    if (draft.entry(bin.id, model.id)) continue;
    const room = makeRoom(draft, input, flow, bin, model.sizeBytes, true);
    if (!room) continue;
    // Where memory is tight, first fit by falling size packs best; else the emptiest is taken.
    const share = tight ? 0 : shareOf(draft, flow, bin);
    const better = !best || room.cost < best.room.cost;
    const equal = best && room.cost === best.room.cost && share < best.share;
    if (better || equal) best = { bin, room, share };
  }
  return best;
}

/** Finds a model that could leave its only place, so that its memory there becomes free later. */
function shift(draft: Draft, model: CellModel): boolean {
  for (const from of draft.bins) {
    for (const { model: id, sizeBytes, ready } of draft.at(from.id)) {
      const other = draft.models.get(id);
      if (!other || !ready || draft.holderCount(id) > 1) continue;
      if (draft.freeBytes(from) + sizeBytes < model.sizeBytes) continue;
      const to = draft.bins.find(
        (bin) => bin.id !== from.id && draft.freeBytes(bin) >= other.sizeBytes,
      );
      if (to) return draft.add(to, other, { reason: 'shifted', gain: 0, cost: 0 });
    }
  }
  return false;
}

/** Whether an ordered load will let a replica go whose memory the model can have then. */
function isRoomComing(draft: Draft, model: CellModel): boolean {
  return draft.bins.some((bin) => {
    let bytes = draft.freeBytes(bin);
    for (const entry of draft.at(bin.id)) {
      const doubled = draft.holderCount(entry.model) > 1 && entry.ready;
      if (doubled) bytes += entry.sizeBytes;
    }
    return bytes >= model.sizeBytes;
  });
}

/** Takes up the places that the last plan could not load yet: together they were found to fit. */
function takeUp(draft: Draft, input: PlanInput): void {
  const why = { reason: 'only-place' as const, gain: 0, cost: input.movePenalty };
  for (const { upstream, model } of input.intended) {
    const bin = draft.bins.find(({ id }) => id === upstream);
    const known = draft.models.get(model);
    if (bin && known && draft.holderCount(model) === 0) draft.add(bin, known, why);
  }
}

function isTight(draft: Draft, homeless: readonly CellModel[]): boolean {
  const wanted = homeless.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  const free = draft.bins.reduce((sum, bin) => sum + draft.freeBytes(bin), 0);
  return wanted > free * TIGHT_SHARE;
}

/** Gives every model that has none a place, the largest first. Tells which fit nowhere now. */
export function placeOnce(draft: Draft, input: PlanInput): readonly ModelId[] {
  takeUp(draft, input);
  const homeless = input.models.filter(({ id }) => draft.holderCount(id) === 0);
  const tight = isTight(draft, homeless);
  const unplaced: ModelId[] = [];
  let flow = spread(draft, input.demand);
  for (const model of homeless.sort((a, b) => b.sizeBytes - a.sizeBytes)) {
    const site = cheapest(draft, input, flow, model, tight);
    if (!site) {
      unplaced.push(model.id);
      if (!isRoomComing(draft, model)) shift(draft, model);
      continue;
    }
    for (const evicted of site.room.evicted) draft.drop(site.bin.id, evicted);
    const cost = site.room.cost + input.movePenalty;
    draft.add(site.bin, model, { reason: 'only-place', gain: 0, cost });
    flow = spread(draft, input.demand);
  }
  return unplaced;
}
