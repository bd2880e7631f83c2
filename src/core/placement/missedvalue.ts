import type { ModelId, UpstreamId } from '../../base/index.js';
import type { Demand } from './demand.js';
import type { Draft } from './draft.js';
import { missedShare } from './missedshare.js';
import { placementRules } from './placementrules.js';
import type { DemandSpread } from './demandspread.js';

const MS_PER_SECOND = 1_000;

/** Weighted answers that are expected to be late over the planning horizon, in total and per upstream. */
interface MissedValue {
  readonly total: number;
  readonly byBin: ReadonlyMap<UpstreamId, number>;
}

/** Evaluates a draft by the value of the answers that its upstreams will not give on time. */
export function missedValue(
  draft: Draft,
  demand: ReadonlyMap<ModelId, Demand>,
  spread: DemandSpread,
): MissedValue {
  const byBin = new Map<UpstreamId, number>();
  let total = 0;
  const missedShareAt = new Map(
    draft.bins.map(({ id, slots }) => [id, missedShare((spread.loadOf.get(id) ?? 0) / slots)]),
  );
  for (const [model, shares] of spread.shareOf) {
    const serviceTimeMs = demand.get(model)?.serviceTimeMs ?? MS_PER_SECOND;
    const weight = draft.models.get(model)?.weight ?? 0;
    const worth = (placementRules.horizonSeconds * weight * MS_PER_SECOND) / serviceTimeMs;
    for (const [bin, busy] of shares) {
      const lost = busy * worth * (missedShareAt.get(bin) ?? 0);
      byBin.set(bin, (byBin.get(bin) ?? 0) + lost);
      total += lost;
    }
  }
  return { total, byBin };
}
