import type { Epoch, Ms, Revision } from '../../base/index.js';
import type { nextTurn } from './nextturn.js';
import { onRecord } from './onrecord.js';
import { turnLimits } from './turnlimits.js';
import type { TurnState } from './turnstate.js';

type TurnWrite = NonNullable<ReturnType<typeof nextTurn>>;

/** A write of the record took effect. `sentAtMs` is from before it left: the right is counted from then. */
export function onWritten(
  state: TurnState,
  write: TurnWrite,
  revision: Revision,
  sentAtMs: Ms,
  nowMs: Ms,
): TurnState {
  const { ttlMs, renewEveryMs, orderTimeoutMs } = turnLimits;
  const isOther = state.seen !== undefined && state.seen.revision > revision;
  const next = onRecord(state, write.value, revision, nowMs);
  // Someone took the right between the write and its answer.
  if (isOther && state.seen.value.nonce !== state.nonce) return { ...next, own: undefined };
  const epoch = write.type === 'renew' && state.own ? state.own.epoch : (Number(revision) as Epoch);
  const own = {
    epoch,
    revision,
    beat: write.value.beat,
    renewAtMs: sentAtMs + renewEveryMs,
    validUntilMs: sentAtMs + ttlMs - orderTimeoutMs,
    ordersFromMs: write.ordersFromMs,
  };
  return { ...next, own };
}
