import type { Ms } from '../../base/index.js';
import type { OpenOrder } from '../ledger/index.js';
import { isDue } from './isdue.js';
import { barrierModel } from './barriermodel.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** True if the next attempt of an order may be sent once its intent is in the store. */
export function maySend(
  state: ResidencyState,
  open: OpenOrder,
  nowMs: Ms,
  rules: ResidencyRules,
): boolean {
  if (!rules.mayOrder(state) || !isDue(open, nowMs)) return false;
  if (open.order.model !== barrierModel && !rules.hasBarrier(state)) return false;
  return !rules.isPinned(state.ledger, open);
}
