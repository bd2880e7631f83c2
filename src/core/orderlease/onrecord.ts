import type { Ms, Revision } from '../../base/index.js';
import type { OrderLeaseRecord } from './orderleaserecord.js';
import type { OrderLeaseState } from './orderleasestate.js';

/** Applies a newer revision of the record; if it names another process, the own lease ends at once. */
export function onRecord(
  state: OrderLeaseState,
  value: OrderLeaseRecord,
  revision: Revision,
  nowMs: Ms,
): OrderLeaseState {
  if (state.seen && revision <= state.seen.revision) return state;
  const seen = { value, revision, seenAtMs: nowMs };
  const isLost = state.own !== undefined && value.nonce !== state.nonce;
  return { ...state, seen, own: isLost ? undefined : state.own };
}
