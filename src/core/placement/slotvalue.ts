import type { ModelId } from '../../base/index.js';
import type { Demand } from './demand.js';
import type { Draft } from './draft.js';
import { placementRules } from './placementrules.js';

const MS_PER_SECOND = 1_000;

/** Returns the weighted answers that one slot gives for a model over the planning horizon. */
export function slotValue(draft: Draft, model: ModelId, demand: Demand | undefined): number {
  if (!demand || demand.serviceTimeMs <= 0) return 0;
  const perSecond = MS_PER_SECOND / demand.serviceTimeMs;
  return perSecond * (draft.models.get(model)?.weight ?? 0) * placementRules.horizonSeconds;
}
