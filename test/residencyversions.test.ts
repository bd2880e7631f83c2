import test from 'ava';
import { MemoryStore } from '../standin/index.js';
import { ResidencyHarness } from './support/residencyharness.js';

const versionsOf = (harness: ResidencyHarness) =>
  harness.residency.residents().map(({ model, version, phase }) => `${model}@${version} ${phase}`);

test('a new version is loaded next to the old one, which serves until the new one is ready', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  harness.plan(['c']);
  await harness.advance(2000);
  harness.setModel({ id: 'c', version: '2', sizeBytes: 35 });
  await harness.advance(1000);
  t.deepEqual(
    versionsOf(harness),
    ['c@1 ready'],
    'the plan in force does not name the new version',
  );
  harness.plan(['c'], ['c'], 2);
  for (let passed = 0; passed < 3000; passed += 50) {
    const unpin = harness.residency.pin('c', '');
    t.true(unpin.ok, 'the model stays reachable');
    if (unpin.ok) unpin.val();
    await harness.advance(50);
  }
  t.deepEqual(versionsOf(harness), ['c@2 ready']);
  harness.end();
});

test('a new version that does not fit is reported with a reason until other upstreams serve the model', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  await harness.advance(1500);
  harness.plan(['a']);
  await harness.advance(2000);
  harness.setModel({ id: 'a', version: '2', sizeBytes: 55 });
  const stuck = harness.plan(['a'], ['a'], 2);
  t.true(stuck.accepted);
  t.is(stuck.refusal?.type, 'version-needs-room');
  await harness.advance(2000);
  t.deepEqual(versionsOf(harness), ['a@1 ready']);
  t.is(harness.plan(['a'], [], 3).refusal, undefined);
  await harness.advance(3000);
  t.deepEqual(versionsOf(harness), ['a@2 ready']);
  t.false(harness.engine.model.isOvercommitted());
  harness.end();
});

test('a request pins its adapter and model; an absent adapter is loaded on demand', async (t) => {
  const harness = new ResidencyHarness(new MemoryStore(), true);
  harness.setModel({
    id: 'c',
    version: '1',
    sizeBytes: 30,
    adapters: [{ id: 'x', sizeBytes: 15 }],
  });
  await harness.advance(1500);
  harness.plan(['c']);
  await harness.advance(2000);
  const absent = harness.residency.pin('c', 'x');
  t.is(absent.err && absent.val.type, 'model-absent');
  t.true(harness.rescue('c', [], 'x').accepted);
  await harness.advance(2000);
  t.true(harness.residency.pin('c', 'x').ok);
  t.is(harness.residency.freeBytes(), 100 - 10 - 30 - 15);
  // A pinned model stays even if a new plan wants another one.
  harness.plan(['a'], [], 2);
  await harness.advance(2000);
  t.deepEqual(versionsOf(harness), ['c@1 ready']);
  harness.end();
});
