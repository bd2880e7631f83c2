import test from 'ava';
import type { HostId, Ms, Revision } from '../src/base/index.js';
import { onWriteResult, type OrderLeaseState } from '../src/core/orderlease/index.js';

const NOW_MS = 5000;

// Guards against two holders of the order lease: a record with the nonce of this process and a later time made the lease
// last for as long as no other record was read.
test('a lease record with a time to come does not prolong the own lease', (t) => {
  const sentAtMs: Ms = NOW_MS;
  const own = { host: 'h' as HostId, address: '127.0.0.1:1', nonce: 'n1' };
  const state: OrderLeaseState = {
    ...own,
    ...{ spacingMs: 0, delayMs: 0, seen: undefined, own: undefined, notBeforeMs: 0 },
  };
  const value = { ...own, sentAtMs, isActive: true, isReleased: false };
  const write = {
    ...{ type: 'take' as const, expectedRevision: 0 as Revision, value, ordersFromMs: NOW_MS },
  };
  const taken = onWriteResult(state, write, value, 3 as Revision, NOW_MS);
  const odd = { ...value, sentAtMs: Number.MAX_SAFE_INTEGER };
  const next = onWriteResult(taken, write, odd, 4 as Revision, NOW_MS);
  t.is(next.own!.validUntilMs, taken.own!.validUntilMs);
  t.is(next.own!.renewAtMs, taken.own!.renewAtMs);
});
