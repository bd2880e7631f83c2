import type { ModelId, UpstreamId } from '../../base/index.js';
import type { Demand } from './demand.js';
import type { Draft } from './draft.js';
import { placementRules } from './placementrules.js';
import type { DemandSpread } from './demandspread.js';

const MS_PER_SECOND = 1_000;
const MIN_FREE_SLOTS = 0.01;

function split(
  slots: number,
  holders: readonly UpstreamId[],
  freeSlotsOf: (holder: UpstreamId) => number,
): ReadonlyMap<UpstreamId, number> {
  const freeSlots = holders.map(
    (holder) => [holder, Math.max(MIN_FREE_SLOTS, freeSlotsOf(holder))] as const,
  );
  const sum = freeSlots.reduce((total, [, free]) => total + free, 0);
  return new Map(freeSlots.map(([holder, free]) => [holder, (slots * free) / sum]));
}

/** Distributes each model's demand over its replicas in proportion to their free slots, as load-based routing does. */
export function spreadDemand(draft: Draft, demand: ReadonlyMap<ModelId, Demand>): DemandSpread {
  const slotsOf = new Map(draft.bins.map(({ id, slots }) => [id, slots]));
  const loadOf = new Map<UpstreamId, number>();
  const shareOf = new Map<ModelId, ReadonlyMap<UpstreamId, number>>();
  const load = (id: UpstreamId, change: number) => loadOf.set(id, (loadOf.get(id) ?? 0) + change);
  for (let round = 0; round < placementRules.spreadRounds; round += 1) {
    for (const [model, { perSecond, serviceTimeMs }] of demand) {
      const before = shareOf.get(model);
      for (const [holder, share] of before ?? []) load(holder, -share);
      const busy = (perSecond * serviceTimeMs) / MS_PER_SECOND;
      const freeSlotsOf = (holder: UpstreamId) =>
        (slotsOf.get(holder) ?? 0) - (loadOf.get(holder) ?? 0);
      const shares = split(busy, draft.holdersOf(model), freeSlotsOf);
      for (const [holder, share] of shares) load(holder, share);
      shareOf.set(model, shares);
    }
  }
  return { loadOf, shareOf };
}
