import test from 'ava';
import { absentStore } from '../src/shell/store/index.js';
import { MemoryStore } from '../standin/index.js';
import { ResidencyHarness } from './support/residencyharness.js';

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks' : 'ignores';

  test(`a plan is executed on an engine that ${kind} fencing tokens, and its result is published`, async (t) => {
    const harness = new ResidencyHarness(new MemoryStore(), checksFencing);
    await harness.advance(1500);
    t.true(harness.plan(['a', 'c']).accepted);
    await harness.advance(3000);
    t.deepEqual(harness.ready(), ['a', 'c']);
    t.is(harness.record().incarnation, 1);
    t.is(harness.record().freeBytes, 10);
    t.is(harness.record().address, '127.0.0.1:7001');
    t.true(harness.auditEntries.includes('order-settled load-model'));
    t.true(harness.residency.pin('a', '').ok);
    const absent = harness.residency.pin('b', '');
    t.is(absent.err && absent.val.type, 'model-absent');
    harness.end();
  });

  test(`a new sidecar replaces one that still runs, on an engine that ${kind} fencing tokens`, async (t) => {
    const store = new MemoryStore();
    const old = new ResidencyHarness(store, checksFencing);
    await old.advance(1500);
    old.plan(['a', 'c']);
    await old.advance(3000);
    const next = new ResidencyHarness(store, checksFencing, { model: old.engine });
    await next.advance(1500);
    t.deepEqual(next.ready(), ['a', 'c']);
    // The old sidecar still runs and tries to load a model for which the new one has no room.
    next.plan(['b'], ['a', 'c']);
    old.plan(['b']);
    await old.advance(3000);
    await next.advance(3000);
    t.is(next.record().incarnation, 2);
    const refused = old.residency.pin('a', '');
    t.is(refused.err && refused.val.type, 'incarnation-superseded');
    t.is(old.plan(['c'], [], 9).refusal?.type, 'incarnation-superseded');
    t.deepEqual(next.ready(), ['a', 'c']);
    t.false(old.engine.model.isOvercommitted());
    old.end();
    next.end();
  });
}

test('an on-demand load evicts a planned model reported elsewhere, which is not reloaded meanwhile', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  harness.plan(['a', 'c']);
  await harness.advance(3000);
  t.is(harness.rescue('b').refusal?.type, 'memory-full');
  t.true(harness.rescue('b', ['a']).accepted);
  await harness.advance(30_000);
  t.deepEqual(harness.ready(), ['b', 'c']);
  t.false(harness.engine.model.isOvercommitted());
  harness.end();
});

test('a model loaded on demand is not evicted before one that was used earlier', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  harness.plan(['c']);
  await harness.advance(3000);
  const unpin = harness.residency.pin('c', '');
  if (unpin.ok) unpin.val();
  await harness.advance(1000);
  t.true(harness.rescue('a').accepted);
  await harness.advance(70_000);
  t.true(harness.rescue('b', ['a', 'c']).accepted);
  await harness.advance(5000);
  t.deepEqual(harness.ready(), ['a', 'b']);
  harness.end();
});

test('an on-demand load evicts only unused models that other upstreams hold', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  t.true(harness.rescue('a').accepted);
  await harness.advance(3000);
  t.true(harness.rescue('c').accepted);
  await harness.advance(70_000);
  t.is(harness.rescue('b').refusal?.type, 'memory-full');
  const unpin = harness.residency.pin('a', '');
  t.is(harness.rescue('b', ['a']).refusal?.type, 'memory-full');
  if (unpin.ok) unpin.val();
  t.true(harness.rescue('b', ['a']).accepted);
  await harness.advance(5000);
  t.deepEqual(harness.ready(), ['b', 'c']);
  t.false(harness.engine.model.isOvercommitted());
  harness.end();
});

test('replicas reported by an entry are forgotten when the on-demand load of that report expires', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  harness.rescue('a');
  await harness.advance(3000);
  t.true(harness.rescue('c', ['a']).accepted);
  await harness.advance(70_000);
  harness.plan(['b'], ['a', 'c']);
  await harness.advance(3000);
  t.deepEqual(harness.ready(), ['a', 'c']);
  harness.end();
});

test('without an incarnation no order is sent', async (t) => {
  const harness = new ResidencyHarness(absentStore, true);
  await harness.advance(2000);
  t.is(harness.rescue('a').refusal?.type, 'incarnation-pending');
  t.deepEqual(harness.engine.orders, []);
  harness.end();
});

test('a store outage stops loads only on an engine that ignores fencing tokens', async (t) => {
  for (const checksFencing of [true, false]) {
    const store = new MemoryStore();
    const harness = new ResidencyHarness(store, checksFencing);
    await harness.advance(1500);
    store.faults.down = true;
    harness.plan(['a']);
    await harness.advance(3000);
    t.deepEqual(harness.ready(), checksFencing ? ['a'] : []);
    const refused = harness.rescue('c').refusal?.type;
    t.is(refused, checksFencing ? undefined : 'store-unavailable');
    store.faults.down = false;
    await harness.advance(20_000);
    t.true(harness.ready().includes('a'));
    harness.end();
  }
});

test('a plan of an earlier epoch is refused with the highest epoch accepted', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  t.true(harness.plan(['a'], [], 7).accepted);
  const refused = harness.plan(['b'], [], 6);
  t.false(refused.accepted);
  t.is(refused.epoch, 7);
  t.is(refused.refusal?.type, 'plan-epoch-old');
  t.is(harness.plan(['a', 'b', 'c'], [], 8).refusal?.type, 'plan-does-not-fit');
  harness.end();
});

test('a draining upstream accepts no work and stops when its models are placed elsewhere', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  harness.plan(['a', 'c']);
  await harness.advance(3000);
  const unpin = harness.residency.pin('a', '');
  harness.residency.leave();
  t.is(harness.record().phase, 'leaving');
  const refused = harness.residency.pin('c', '');
  t.is(refused.err && refused.val.type, 'upstream-leaving');
  let isGone = false;
  const gone = harness.residency.stop().then(() => {
    isGone = true;
  });
  await harness.advance(500);
  t.false(isGone, 'a request is in flight');
  if (unpin.ok) unpin.val();
  harness.plan([], ['a'], 2);
  await harness.advance(500);
  t.false(isGone, 'one model is not placed elsewhere yet');
  harness.plan([], [], 3);
  await gone;
  t.is(harness.record().phase, 'gone');
  harness.end();
});

test('a draining upstream whose models are not placed elsewhere stops after the timeout', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  harness.plan(['a']);
  await harness.advance(3000);
  const gone = harness.residency.stop();
  await harness.advance(10_500);
  await gone;
  t.is(harness.record().phase, 'gone');
  harness.end();
});
