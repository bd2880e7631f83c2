import test from 'ava';
import { MemoryStore } from '../standin/index.js';
import { ResidencyBed } from './support/residencybed.js';

const versionsOf = (bed: ResidencyBed) =>
  bed.residency.residents().map(({ model, version, phase }) => `${model}@${version} ${phase}`);

test('a new version loads beside the old one, which serves until it is ready', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  bed.plan(['c']);
  await bed.pass(2000);
  bed.setModel({ id: 'c', version: '2', sizeBytes: 35 });
  await bed.pass(1000);
  t.deepEqual(versionsOf(bed), ['c@1 ready'], 'the plan in force does not know of it');
  bed.plan(['c'], ['c'], 2);
  for (let passed = 0; passed < 3000; passed += 50) {
    const unpin = bed.residency.pin('c', '');
    t.true(unpin.ok, 'the model is reachable all the time');
    if (unpin.ok) unpin.val();
    await bed.pass(50);
  }
  t.deepEqual(versionsOf(bed), ['c@2 ready']);
  bed.end();
});

test('a new version that fits nowhere here is refused with a reason until others serve it', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  bed.plan(['a']);
  await bed.pass(2000);
  bed.setModel({ id: 'a', version: '2', sizeBytes: 55 });
  const stuck = bed.plan(['a'], ['a'], 2);
  t.true(stuck.accepted);
  t.is(stuck.refusal?.type, 'version-needs-room');
  await bed.pass(2000);
  t.deepEqual(versionsOf(bed), ['a@1 ready']);
  t.is(bed.plan(['a'], [], 3).refusal, undefined);
  await bed.pass(3000);
  t.deepEqual(versionsOf(bed), ['a@2 ready']);
  t.false(bed.engine.model.isOvercommitted());
  bed.end();
});

test('a request for an adapter pins it and its model; an absent one is loaded on request', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  bed.setModel({ id: 'c', version: '1', sizeBytes: 30, adapters: [{ id: 'x', sizeBytes: 15 }] });
  await bed.pass(1500);
  bed.plan(['c']);
  await bed.pass(2000);
  const absent = bed.residency.pin('c', 'x');
  t.is(absent.err && absent.val.type, 'model-absent');
  t.true(bed.rescue('c', [], 'x').accepted);
  await bed.pass(2000);
  t.true(bed.residency.pin('c', 'x').ok);
  t.is(bed.residency.freeBytes(), 100 - 10 - 30 - 15);
  // What is pinned stays, also under a plan that wants something else.
  bed.plan(['a'], [], 2);
  await bed.pass(2000);
  t.deepEqual(versionsOf(bed), ['c@1 ready']);
  bed.end();
});
