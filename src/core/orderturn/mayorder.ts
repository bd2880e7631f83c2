import type { Ms } from '../../base/index.js';
import type { TurnState } from './turnstate.js';

/** Whether an order may leave now. To be asked right before each one, as the process may have been stopped. */
export function mayOrder({ own }: TurnState, nowMs: Ms): boolean {
  return own !== undefined && nowMs >= own.ordersFromMs && nowMs < own.validUntilMs;
}
