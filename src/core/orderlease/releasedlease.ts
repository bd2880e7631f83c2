import type { Ms, Revision } from '../../base/index.js';
import type { OrderLeaseRecord } from './orderleaserecord.js';
import type { OrderLeaseState } from './orderleasestate.js';

/** A compare-and-swap write that releases the lease. */
interface LeaseRelease {
  readonly expectedRevision: Revision;
  readonly value: OrderLeaseRecord;
}

/**
 * Returns the write that releases the lease; undefined if this process has none. A holder that was still waiting
 * for its predecessor's orders to end records that, so that the next process on its host waits as well.
 */
export function releasedLease(
  { own, host, address, nonce }: OrderLeaseState,
  nowMs: Ms,
): LeaseRelease | undefined {
  if (!own) return undefined;
  const isActive = nowMs >= own.ordersFromMs;
  const value = { host, address, nonce, sentAtMs: nowMs, isActive, isReleased: true };
  return { expectedRevision: own.revision, value };
}
