import type { Ms } from '../../base/index.js';
import { turnLimits } from './turnlimits.js';
import type { TurnState } from './turnstate.js';

/** When the holder before, as the record names it, can have no order under way that still counts. */
export function ordersFrom(state: TurnState, nowMs: Ms): Ms {
  const { seen, host, address, turnMs, notBeforeMs } = state;
  if (!seen) return Math.max(nowMs, notBeforeMs);
  const { value, seenAtMs } = seen;
  const isSameHost = value.host === host && value.address === address;
  // A process that starts again on its host is the same holder.
  if (isSameHost && value.isActive) return Math.max(nowMs, notBeforeMs);
  const { ttlMs, orderTimeoutMs } = turnLimits;
  // An order that left right before the release may still be on its way.
  const lastOrderMs = seenAtMs + (value.isReleased ? orderTimeoutMs : ttlMs);
  return Math.max(nowMs, notBeforeMs, lastOrderMs + turnMs + turnLimits.marginMs);
}
