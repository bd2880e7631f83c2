import type { HostId, Ms, Revision } from '../../base/index.js';
import type { OrderLeaseRecord } from './orderleaserecord.js';
import type { OrderLeaseState } from './orderleasestate.js';

/** Stands for a process of which nothing is known: it may hold the lease, and may have sent an order just now. */
const UNKNOWN: OrderLeaseRecord = {
  host: '' as HostId,
  address: '',
  nonce: '',
  sentAtMs: 0,
  isActive: true,
  isReleased: false,
};
const ABSENT = 0 as Revision;

/**
 * Applies a revision of the record that another writer has left, which names no holder, or the removal of the record. The
 * own lease ends, and the record can be replaced like one that is not renewed.
 */
export function onUnreadable(
  state: OrderLeaseState,
  revision: Revision | undefined,
  nowMs: Ms,
): OrderLeaseState {
  const { seen } = state;
  const isKnown =
    revision === undefined ? seen?.revision === ABSENT : revision <= (seen?.revision ?? ABSENT);
  if (isKnown) return state;
  return {
    ...state,
    seen: { value: UNKNOWN, revision: revision ?? ABSENT, seenAtMs: nowMs },
    own: undefined,
  };
}
