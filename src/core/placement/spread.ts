import type { ModelId, UpstreamId } from '../../base/index.js';
import type { Demand } from './demand.js';
import type { Draft } from './draft.js';
import { placementRules } from './placementrules.js';
import type { Spread } from './spreadresult.js';

const MS_PER_SECOND = 1_000;
const LEAST_ROOM = 0.01;

function split(
  slots: number,
  holders: readonly UpstreamId[],
  roomOf: (holder: UpstreamId) => number,
): ReadonlyMap<UpstreamId, number> {
  const rooms = holders.map((holder) => [holder, Math.max(LEAST_ROOM, roomOf(holder))] as const);
  const sum = rooms.reduce((total, [, room]) => total + room, 0);
  return new Map(rooms.map(([holder, room]) => [holder, (slots * room) / sum]));
}

/** Spreads each model's demand over its replicas, as routing by load would: towards free slots. */
export function spread(draft: Draft, demand: ReadonlyMap<ModelId, Demand>): Spread {
  const slotsOf = new Map(draft.bins.map(({ id, slots }) => [id, slots]));
  const loadOf = new Map<UpstreamId, number>();
  const shareOf = new Map<ModelId, ReadonlyMap<UpstreamId, number>>();
  const load = (id: UpstreamId, change: number) => loadOf.set(id, (loadOf.get(id) ?? 0) + change);
  for (let round = 0; round < placementRules.spreadRounds; round += 1) {
    for (const [model, { perSecond, serviceTimeMs }] of demand) {
      const before = shareOf.get(model);
      for (const [holder, share] of before ?? []) load(holder, -share);
      const busy = (perSecond * serviceTimeMs) / MS_PER_SECOND;
      const room = (holder: UpstreamId) => (slotsOf.get(holder) ?? 0) - (loadOf.get(holder) ?? 0);
      const shares = split(busy, draft.holdersOf(model), room);
      for (const [holder, share] of shares) load(holder, share);
      shareOf.set(model, shares);
    }
  }
  return { loadOf, shareOf };
}
