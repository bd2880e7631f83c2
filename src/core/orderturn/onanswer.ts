import type { Epoch, Ms, Revision } from '../../base/index.js';
import type { nextTurn } from './nextturn.js';
import { onRecord } from './onrecord.js';
import type { TurnRecord } from './turnrecord.js';
import { turnLimits } from './turnlimits.js';
import type { TurnState } from './turnstate.js';

type TurnWrite = NonNullable<ReturnType<typeof nextTurn>>;

/**
 * Takes what the store holds after a write: the write's own value, or what stood in its way. A value of
 * this process counts from when that was sent, as it may be that of an earlier write without an answer.
 */
export function onAnswer(
  state: TurnState,
  write: TurnWrite,
  value: TurnRecord,
  revision: Revision,
  nowMs: Ms,
): TurnState {
  const { ttlMs, renewEveryMs, orderTimeoutMs } = turnLimits;
  const { seen } = state;
  const isOvertaken =
    seen !== undefined && seen.revision > revision && seen.value.nonce !== state.nonce;
  if (value.nonce !== state.nonce || isOvertaken) return onRecord(state, value, revision, nowMs);
  const next = onRecord(state, value, revision, nowMs);
  const own = {
    epoch: state.own?.epoch ?? (Number(revision) as Epoch),
    revision,
    renewAtMs: value.sentAtMs + renewEveryMs,
    validUntilMs: value.sentAtMs + ttlMs - orderTimeoutMs,
    ordersFromMs: state.own?.ordersFromMs ?? write.ordersFromMs,
  };
  return { ...next, own };
}
