import type { ModelId } from '../../base/index.js';
import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Draft } from './draft.js';
import { makeRoom } from './makeroom.js';
import type { PlanInput } from './planinput.js';
import type { Room } from './room.js';
import { spreadDemand } from './spreaddemand.js';
import type { DemandSpread } from './demandspread.js';

/** If models without a replica need more than this share of the free memory, dense packing precedes balanced load. */
const TIGHT_SHARE = 0.6;

interface Site {
  readonly bin: CellUpstream;
  readonly room: Room;
  readonly share: number;
}

/** Returns the sum of an upstream's slot and memory utilization. */
function utilization(draft: Draft, spread: DemandSpread, bin: CellUpstream): number {
  const slots = (spread.loadOf.get(bin.id) ?? 0) / Math.max(1, bin.slots);
  return slots + 1 - draft.freeBytes(bin) / Math.max(1, bin.capacityBytes);
}

function cheapestSite(
  draft: Draft,
  input: PlanInput,
  spread: DemandSpread,
  model: CellModel,
  tight: boolean,
): Site | undefined {
  let best: Site | undefined;
  for (const bin of draft.bins) {
    if (draft.entry(bin.id, model.id)) continue;
    const room = makeRoom(draft, input, spread, bin, model.sizeBytes, true);
    if (!room) continue;
    // If memory is tight, first-fit decreasing packs best; otherwise the least utilized upstream is taken.
    const share = tight ? 0 : utilization(draft, spread, bin);
    const better = !best || room.cost < best.room.cost;
    const equal = best && room.cost === best.room.cost && share < best.share;
    if (better || equal) best = { bin, room, share };
  }
  return best;
}

/** Plans a second replica of a model elsewhere if evicting its only one later frees enough memory for `model`. */
function shiftReplica(draft: Draft, model: CellModel): boolean {
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

/** True if some upstream has room for the model once the replicas that are also held elsewhere are evicted. */
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

/** Adds the replicas whose loads the last plan had to defer: they are known to fit together. */
function addDeferred(draft: Draft, input: PlanInput): void {
  const why = { reason: 'only-place' as const, gain: 0, cost: input.movePenalty };
  for (const { upstream, model } of input.intended) {
    const bin = draft.bins.find(({ id }) => id === upstream);
    const known = draft.models.get(model);
    if (bin && known && draft.holderCount(model) === 0) draft.add(bin, known, why);
  }
}

function isTight(draft: Draft, withoutReplica: readonly CellModel[]): boolean {
  const wanted = withoutReplica.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  const free = draft.bins.reduce((sum, bin) => sum + draft.freeBytes(bin), 0);
  return wanted > free * TIGHT_SHARE;
}

/** Places every model that has no replica, the largest first. Returns those that fit nowhere at present. */
export function placeMissing(draft: Draft, input: PlanInput): readonly ModelId[] {
  addDeferred(draft, input);
  const withoutReplica = input.models.filter(({ id }) => draft.holderCount(id) === 0);
  const tight = isTight(draft, withoutReplica);
  const unplaced: ModelId[] = [];
  let spread = spreadDemand(draft, input.demand);
  for (const model of withoutReplica.sort((a, b) => b.sizeBytes - a.sizeBytes)) {
    const site = cheapestSite(draft, input, spread, model, tight);
    if (!site) {
      unplaced.push(model.id);
      if (!isRoomComing(draft, model)) shiftReplica(draft, model);
      continue;
    }
    for (const evicted of site.room.evicted) draft.drop(site.bin.id, evicted);
    const cost = site.room.cost + input.movePenalty;
    draft.add(site.bin, model, { reason: 'only-place', gain: 0, cost });
    spread = spreadDemand(draft, input.demand);
  }
  return unplaced;
}
