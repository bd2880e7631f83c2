import type { ModelId, UpstreamId } from '../../base/index.js';
import type { Demand } from './demand.js';
import type { Draft } from './draft.js';
import { lostShare } from './lostshare.js';
import { placementRules } from './placementrules.js';
import type { Spread } from './spreadresult.js';

const MS_PER_SECOND = 1_000;

/** Weighted answers that a draft is expected to miss over the planning horizon, and where. */
interface LostValue {
  readonly total: number;
  readonly byBin: ReadonlyMap<UpstreamId, number>;
}

/** Judges a draft by what its upstreams will not answer in time. */
export function lostValue(
  draft: Draft,
  demand: ReadonlyMap<ModelId, Demand>,
  flow: Spread,
): LostValue {
  const byBin = new Map<UpstreamId, number>();
  let total = 0;
  const lostAt = new Map(
    draft.bins.map(({ id, slots }) => [id, lostShare((flow.loadOf.get(id) ?? 0) / slots)]),
  );
  for (const [model, shares] of flow.shareOf) {
    const serviceTimeMs = demand.get(model)?.serviceTimeMs ?? MS_PER_SECOND;
    const weight = draft.models.get(model)?.weight ?? 0;
    const worth = (placementRules.horizonSeconds * weight * MS_PER_SECOND) / serviceTimeMs;
    for (const [bin, busy] of shares) {
      const lost = busy * worth * (lostAt.get(bin) ?? 0);
      byBin.set(bin, (byBin.get(bin) ?? 0) + lost);
      total += lost;
    }
  }
  return { total, byBin };
}
