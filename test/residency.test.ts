import test from 'ava';
import { absentStore } from '../src/shell/store/index.js';
import { MemoryStore } from '../standin/index.js';
import { ResidencyBed } from './support/residencybed.js';

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks' : 'ignores';

  test(`a plan is carried out at an engine that ${kind} fences, and told to the region`, async (t) => {
    const bed = new ResidencyBed(new MemoryStore(), checksFencing);
    await bed.pass(1500);
    t.true(bed.plan(['a', 'c']).accepted);
    await bed.pass(3000);
    t.deepEqual(bed.ready(), ['a', 'c']);
    t.is(bed.record().incarnation, 1);
    t.is(bed.record().freeBytes, 10);
    t.is(bed.record().address, '127.0.0.1:7001');
    t.true(bed.acts.includes('order-settled load-model'));
    t.true(bed.residency.pin('a', '').ok);
    const absent = bed.residency.pin('b', '');
    t.is(absent.err && absent.val.type, 'model-absent');
    bed.end();
  });

  test(`a sidecar that is replaced takes over at an engine that ${kind} fences`, async (t) => {
    const store = new MemoryStore();
    const old = new ResidencyBed(store, checksFencing);
    await old.pass(1500);
    old.plan(['a', 'c']);
    await old.pass(3000);
    const next = new ResidencyBed(store, checksFencing, { model: old.engine });
    await next.pass(1500);
    t.deepEqual(next.ready(), ['a', 'c']);
    // The old one still runs, and tries to load what the new one has no room for.
    next.plan(['b'], ['a', 'c']);
    old.plan(['b']);
    await old.pass(3000);
    await next.pass(3000);
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

test('what a plan wants makes room for a rescue if entries name it, and is not loaded meanwhile', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  bed.plan(['a', 'c']);
  await bed.pass(3000);
  t.is(bed.rescue('b').refusal?.type, 'memory-full');
  t.true(bed.rescue('b', ['a']).accepted);
  await bed.pass(30_000);
  t.deepEqual(bed.ready(), ['b', 'c']);
  t.false(bed.engine.model.isOvercommitted());
  bed.end();
});

test('what was rescued does not go before what was used earlier', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  bed.plan(['c']);
  await bed.pass(3000);
  const unpin = bed.residency.pin('c', '');
  if (unpin.ok) unpin.val();
  await bed.pass(1000);
  t.true(bed.rescue('a').accepted);
  await bed.pass(70_000);
  t.true(bed.rescue('b', ['a', 'c']).accepted);
  await bed.pass(5000);
  t.deepEqual(bed.ready(), ['a', 'b']);
  bed.end();
});

test('a rescue evicts only what others hold, and what nobody uses', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  t.true(bed.rescue('a').accepted);
  await bed.pass(3000);
  t.true(bed.rescue('c').accepted);
  await bed.pass(70_000);
  t.is(bed.rescue('b').refusal?.type, 'memory-full');
  const unpin = bed.residency.pin('a', '');
  t.is(bed.rescue('b', ['a']).refusal?.type, 'memory-full');
  if (unpin.ok) unpin.val();
  t.true(bed.rescue('b', ['a']).accepted);
  await bed.pass(5000);
  t.deepEqual(bed.ready(), ['b', 'c']);
  t.false(bed.engine.model.isOvercommitted());
  bed.end();
});

test('what an entry said of replicas is forgotten with the rescue it came with', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  bed.rescue('a');
  await bed.pass(3000);
  t.true(bed.rescue('c', ['a']).accepted);
  await bed.pass(70_000);
  bed.plan(['b'], ['a', 'c']);
  await bed.pass(3000);
  t.deepEqual(bed.ready(), ['a', 'c']);
  bed.end();
});

test('without an incarnation nothing is ordered, and what is resident is served', async (t) => {
  const bed = new ResidencyBed(absentStore, true);
  await bed.pass(2000);
  t.is(bed.rescue('a').refusal?.type, 'incarnation-pending');
  t.deepEqual(bed.engine.orders, []);
  bed.end();
});

test('a store outage stops loads only at an engine that ignores fences', async (t) => {
  for (const checksFencing of [true, false]) {
    const store = new MemoryStore();
    const bed = new ResidencyBed(store, checksFencing);
    await bed.pass(1500);
    store.faults.down = true;
    bed.plan(['a']);
    await bed.pass(3000);
    t.deepEqual(bed.ready(), checksFencing ? ['a'] : []);
    const refused = bed.rescue('c').refusal?.type;
    t.is(refused, checksFencing ? undefined : 'store-unavailable');
    store.faults.down = false;
    await bed.pass(20_000);
    t.true(bed.ready().includes('a'));
    bed.end();
  }
});

test('a plan of an earlier epoch is refused with the highest epoch seen', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  t.true(bed.plan(['a'], [], 7).accepted);
  const refused = bed.plan(['b'], [], 6);
  t.false(refused.accepted);
  t.is(refused.epoch, 7);
  t.is(refused.refusal?.type, 'plan-epoch-old');
  t.is(bed.plan(['a', 'b', 'c'], [], 8).refusal?.type, 'plan-does-not-fit');
  bed.end();
});

test('a leaving upstream takes nothing new and goes when its models have other places', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  bed.plan(['a', 'c']);
  await bed.pass(3000);
  const unpin = bed.residency.pin('a', '');
  bed.residency.leave();
  t.is(bed.record().phase, 'leaving');
  const refused = bed.residency.pin('c', '');
  t.is(refused.err && refused.val.type, 'upstream-leaving');
  let isGone = false;
  const gone = bed.residency.stop().then(() => {
    isGone = true;
  });
  await bed.pass(500);
  t.false(isGone, 'a request is in flight');
  if (unpin.ok) unpin.val();
  bed.plan([], ['a'], 2);
  await bed.pass(500);
  t.false(isGone, 'one model has no other place yet');
  bed.plan([], [], 3);
  await gone;
  t.is(bed.record().phase, 'gone');
  bed.end();
});

test('a leaving upstream whose models find no place goes when its time is up', async (t) => {
  const bed = new ResidencyBed(new MemoryStore(), true);
  await bed.pass(1500);
  bed.plan(['a']);
  await bed.pass(3000);
  const gone = bed.residency.stop();
  await bed.pass(10_500);
  await gone;
  t.is(bed.record().phase, 'gone');
  bed.end();
});
