import type { ModelId } from '../../base/index.js';
import type { Demand } from './demand.js';
import type { Draft } from './draft.js';
import { placementRules } from './placementrules.js';

/** Returns the gain, in weighted answers, below which a move's gain is indistinguishable from measurement noise. */
export function noiseMargin(draft: Draft, demand: ReadonlyMap<ModelId, Demand>): number {
  let perSecond = 0;
  for (const [model, wanted] of demand) {
    perSecond += wanted.perSecond * (draft.models.get(model)?.weight ?? 0);
  }
  return perSecond * placementRules.horizonSeconds * placementRules.noiseShare;
}
