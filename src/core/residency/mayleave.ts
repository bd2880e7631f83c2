import type { Ms } from '../../base/index.js';
import type { OpenOrder } from '../ledger/index.js';
import { isDue } from './isdue.js';
import { noModel } from './nomodel.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** Whether the next attempt of an order may leave, once its intent is in the store. */
export function mayLeave(
  state: ResidencyState,
  open: OpenOrder,
  nowMs: Ms,
  rules: ResidencyRules,
): boolean {
  if (!rules.mayOrder(state) || !isDue(open, nowMs)) return false;
  if (open.order.model !== noModel && !rules.hasBarrier(state)) return false;
  return !rules.isPinned(state.ledger, open);
}
