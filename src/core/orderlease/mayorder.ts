import type { Ms } from '../../base/index.js';
import type { OrderLeaseState } from './orderleasestate.js';

/** True if an order may be sent now. Checked right before each send, as the process may have been suspended. */
export function mayOrder({ own }: OrderLeaseState, nowMs: Ms): boolean {
  return own !== undefined && nowMs >= own.ordersFromMs && nowMs < own.validUntilMs;
}
