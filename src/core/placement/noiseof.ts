import type { ModelId } from '../../base/index.js';
import type { Demand } from './demand.js';
import type { Draft } from './draft.js';
import { placementRules } from './placementrules.js';

/** Weighted answers that a move must gain before the gain is more than noise of the measurement. */
export function noiseOf(draft: Draft, demand: ReadonlyMap<ModelId, Demand>): number {
  let perSecond = 0;
  for (const [model, wanted] of demand) {
    perSecond += wanted.perSecond * (draft.models.get(model)?.weight ?? 0);
  }
  return perSecond * placementRules.horizonSeconds * placementRules.noiseShare;
}
