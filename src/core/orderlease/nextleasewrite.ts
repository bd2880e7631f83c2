import type { Ms, Revision } from '../../base/index.js';
import { earliestOrderAtMs } from './earliestorderatms.js';
import { orderLeaseLimits } from './orderleaselimits.js';
import type { OrderLeaseRecord } from './orderleaserecord.js';
import type { OrderLeaseState } from './orderleasestate.js';

/** A compare-and-swap write of the lease record. */
interface LeaseWrite {
  readonly type: 'take' | 'renew';
  readonly expectedRevision: Revision;
  readonly value: OrderLeaseRecord;
  readonly ordersFromMs: Ms;
}

function isDue(state: OrderLeaseState, nowMs: Ms): boolean {
  const { seen, host, address, delayMs } = state;
  if (!seen) return true;
  const { value, seenAtMs } = seen;
  if (value.host === host && value.address === address) return true;
  const freeAtMs = value.isReleased ? seenAtMs : seenAtMs + orderLeaseLimits.ttlMs;
  return nowMs >= freeAtMs + delayMs;
}

/** Returns the write that is due now, if any: a renewal of the own lease, or a takeover of one that expired. */
export function nextLeaseWrite(state: OrderLeaseState, nowMs: Ms): LeaseWrite | undefined {
  const { own, host, address, nonce } = state;
  const base = { host, address, nonce, sentAtMs: nowMs, isReleased: false };
  if (own) {
    if (nowMs < own.renewAtMs) return undefined;
    const isActive = nowMs >= own.ordersFromMs;
    const value = { ...base, isActive };
    const { ordersFromMs } = own;
    return { type: 'renew', expectedRevision: own.revision, value, ordersFromMs };
  }
  if (!isDue(state, nowMs)) return undefined;
  const ordersFromMs = earliestOrderAtMs(state, nowMs);
  const isActive = ordersFromMs <= nowMs;
  const expectedRevision = state.seen?.revision ?? (0 as Revision);
  return { type: 'take', expectedRevision, value: { ...base, isActive }, ordersFromMs };
}
