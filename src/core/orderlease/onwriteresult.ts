import type { Epoch, Ms, Revision } from '../../base/index.js';
import type { nextLeaseWrite } from './nextleasewrite.js';
import { onRecord } from './onrecord.js';
import type { OrderLeaseRecord } from './orderleaserecord.js';
import { orderLeaseLimits } from './orderleaselimits.js';
import type { OrderLeaseState } from './orderleasestate.js';

type LeaseWrite = NonNullable<ReturnType<typeof nextLeaseWrite>>;

/**
 * Applies what the store holds after a write: the written value, or the one that conflicted with it. A value of
 * this process is valid from its own `sentAtMs`, as it may stem from an earlier write that got no answer.
 */
export function onWriteResult(
  state: OrderLeaseState,
  write: LeaseWrite,
  value: OrderLeaseRecord,
  revision: Revision,
  nowMs: Ms,
): OrderLeaseState {
  const { ttlMs, renewEveryMs, orderTimeoutMs } = orderLeaseLimits;
  const { seen } = state;
  const isOvertaken =
    seen !== undefined && seen.revision > revision && seen.value.nonce !== state.nonce;
  if (value.nonce !== state.nonce || isOvertaken) return onRecord(state, value, revision, nowMs);
  const next = onRecord(state, value, revision, nowMs);
  // No write of this process was sent after this one: a later time is not its own and must not prolong the lease.
  const sentAtMs = Math.min(value.sentAtMs, write.value.sentAtMs);
  const own = {
    epoch: state.own?.epoch ?? (Number(revision) as Epoch),
    revision,
    renewAtMs: sentAtMs + renewEveryMs,
    validUntilMs: sentAtMs + ttlMs - orderTimeoutMs,
    ordersFromMs: state.own?.ordersFromMs ?? write.ordersFromMs,
  };
  return { ...next, own };
}
