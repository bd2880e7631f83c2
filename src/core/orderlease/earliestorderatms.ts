import type { Ms } from '../../base/index.js';
import { orderLeaseLimits } from './orderleaselimits.js';
import type { OrderLeaseState } from './orderleasestate.js';

/** Returns the time from which no order of the previous holder, as named in the record, can still be in flight. */
export function earliestOrderAtMs(state: OrderLeaseState, nowMs: Ms): Ms {
  const { seen, host, address, spacingMs, notBeforeMs } = state;
  if (!seen) return Math.max(nowMs, notBeforeMs);
  const { value, seenAtMs } = seen;
  const isSameHost = value.host === host && value.address === address;
  // A process that restarts on its host counts as the same holder.
  if (isSameHost && value.isActive) return Math.max(nowMs, notBeforeMs);
  const { ttlMs, orderTimeoutMs } = orderLeaseLimits;
  // An order that was sent right before the release may still be in flight.
  const lastOrderMs = seenAtMs + (value.isReleased ? orderTimeoutMs : ttlMs);
  return Math.max(nowMs, notBeforeMs, lastOrderMs + spacingMs + orderLeaseLimits.marginMs);
}
