import test from 'ava';
import type { ModelId, Incarnation, Revision } from '../src/base/index.js';
import { emptyFence, stepFence, type FenceEvent } from '../src/core/fence/index.js';
import type { KeyValue, Order } from '../src/port/index.js';
import { session } from './support/session.js';

const KEY = '/tarragonstile/upstreams/redactor-1';

const load: Order = {
  orderId: '2-1',
  fencingToken: 2 as Incarnation,
  action: 'load-model',
  model: 'notice' as ModelId,
  version: '1',
  sizeBytes: 60,
};

function item(incarnation: number, owner: string, revision: number, orders: Order[]): KeyValue {
  const intents = orders.map((order) => ({ order, attempt: 1 }));
  const value = JSON.stringify({ incarnation, owner, intents });
  return { key: KEY, value, revision: revision as Revision };
}

function swapped(revision: number): FenceEvent {
  return { type: 'swapped', outcome: { type: 'swapped', revision: revision as Revision } };
}

const lost: FenceEvent = {
  type: 'store-failed',
  failure: { type: 'store-outcome-unknown', detail: 'timeout' },
};

const down: FenceEvent = {
  type: 'store-failed',
  failure: { type: 'store-unavailable', detail: 'down' },
};

const tick: FenceEvent = { type: 'tick' };

test('golden: a new incarnation inherits the intents of the previous one', (t) => {
  const state = session(t, 'fence-taken', stepFence, emptyFence('us'), [
    { atMs: 0, event: tick },
    { atMs: 3, event: { type: 'read', item: item(1, 'them', 7, [load]) } },
    { atMs: 6, event: swapped(8) },
  ]);
  t.is(state.incarnation, 2 as Incarnation);
});

test('golden: after a lost answer the key is read back and shows that our swap succeeded', (t) => {
  const state = session(t, 'fence-lost-answer', stepFence, emptyFence('us'), [
    { atMs: 0, event: tick },
    { atMs: 3, event: { type: 'read', item: undefined } },
    { atMs: 2003, event: lost },
    { atMs: 2100, event: tick },
    { atMs: 2300, event: tick },
    { atMs: 2303, event: { type: 'read', item: item(1, 'us', 4, []) } },
  ]);
  t.is(state.incarnation, 1 as Incarnation);
});

test('golden: an intent counts as recorded only after the store confirms it, despite an outage and a lost answer', (t) => {
  session(t, 'fence-outage', stepFence, emptyFence('us'), [
    { atMs: 0, event: tick },
    { atMs: 3, event: { type: 'read', item: undefined } },
    { atMs: 6, event: swapped(1) },
    { atMs: 50, event: { type: 'wanted', intents: [{ order: load, attempt: 1 }] } },
    { atMs: 60, event: down },
    { atMs: 310, event: tick },
    { atMs: 312, event: { type: 'read', item: item(1, 'us', 1, []) } },
    { atMs: 2312, event: lost },
    { atMs: 2600, event: tick },
    { atMs: 2603, event: { type: 'read', item: item(1, 'us', 2, [load]) } },
  ]);
});

test('golden: a suspended sidecar that resumes finds its key taken and never writes again', (t) => {
  const state = session(t, 'fence-superseded', stepFence, emptyFence('us'), [
    { atMs: 0, event: tick },
    { atMs: 3, event: { type: 'read', item: undefined } },
    { atMs: 6, event: swapped(1) },
    { atMs: 90_000, event: { type: 'wanted', intents: [{ order: load, attempt: 1 }] } },
    {
      atMs: 90_003,
      event: { type: 'swapped', outcome: { type: 'conflict', current: item(2, 'them', 5, []) } },
    },
    { atMs: 90_010, event: { type: 'wanted', intents: [] } },
    { atMs: 99_000, event: tick },
  ]);
  t.is(state.phase, 'superseded');
});

test('a damaged value is never overwritten', (t) => {
  const damaged = { key: KEY, value: '{"incarnation":', revision: 3 as Revision };
  const reading = stepFence(emptyFence('us'), tick, 0).state;
  const { effects } = stepFence(reading, { type: 'read', item: damaged }, 3);
  t.deepEqual(
    effects.map(({ type }) => type),
    ['store-failing'],
  );
});
