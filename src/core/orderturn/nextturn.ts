import type { Ms, Revision } from '../../base/index.js';
import { ordersFrom } from './ordersfrom.js';
import { turnLimits } from './turnlimits.js';
import type { TurnRecord } from './turnrecord.js';
import type { TurnState } from './turnstate.js';

/** A write of the record under the condition that it has not changed. */
interface TurnWrite {
  readonly type: 'take' | 'renew';
  readonly expectedRevision: Revision;
  readonly value: TurnRecord;
  readonly ordersFromMs: Ms;
}

function isDue(state: TurnState, nowMs: Ms): boolean {
  const { seen, host, address, delayMs } = state;
  if (!seen) return true;
  const { value, seenAtMs } = seen;
  if (value.host === host && value.address === address) return true;
  const freeAtMs = value.isReleased ? seenAtMs : seenAtMs + turnLimits.ttlMs;
  return nowMs >= freeAtMs + delayMs;
}

/** What is to be written now, if anything: a renewal of the own right, or a takeover of one that lapsed. */
export function nextTurn(state: TurnState, nowMs: Ms): TurnWrite | undefined {
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
  const ordersFromMs = ordersFrom(state, nowMs);
  const isActive = ordersFromMs <= nowMs;
  const expectedRevision = state.seen?.revision ?? (0 as Revision);
  return { type: 'take', expectedRevision, value: { ...base, isActive }, ordersFromMs };
}
