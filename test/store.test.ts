import test from 'ava';
import { VirtualClock, systemClock, type Revision } from '../src/base/index.js';
import type { KeyValueStore, WatchEvent } from '../src/port/index.js';
import { EtcdStore } from '../src/shell/store/index.js';
import { MemoryStore, StoreServer, type StoreFaults } from '../standin/index.js';

const NONE = 0 as Revision;
const LEASE_MS = 2000;

/** A store driver under test and the stand-in behind it. */
interface Rig {
  readonly store: KeyValueStore;
  readonly behind: MemoryStore;
  readonly clock: VirtualClock;
  readonly close: () => Promise<void>;
}

type Build = (faults?: StoreFaults) => Promise<Rig>;

const builds: Readonly<Record<string, Build>> = {
  memory(faults) {
    const clock = new VirtualClock();
    const behind = new MemoryStore({ clock, faults });
    return Promise.resolve({ store: behind, behind, clock, close: () => Promise.resolve() });
  },
  async gateway(faults) {
    const clock = new VirtualClock();
    const behind = new MemoryStore({ clock, faults });
    const server = new StoreServer(behind);
    const store = new EtcdStore({
      urls: [await server.listen()],
      readsPerSecond: 1000,
      writesPerSecond: 1000,
      timeoutMs: 2000,
      clock: systemClock,
      seed: 1,
    });
    const close = async () => {
      await store.close();
      await server.close();
    };
    return { store, behind, clock, close };
  },
};

/** Watches until `count` events have arrived, and returns them. */
function collect(store: KeyValueStore, from: Revision, count: number): Promise<WatchEvent[]> {
  return new Promise((resolve) => {
    const events: WatchEvent[] = [];
    const stop = store.watch('/a/', from, (event) => {
      events.push(event);
      if (events.length < count) return;
      stop();
      resolve(events);
    });
  });
}

for (const [name, build] of Object.entries(builds)) {
  test(`${name}: a swap requires the expected revision, and a conflict returns the current value`, async (t) => {
    const { store, close } = await build();
    const made = (await store.swap({ key: '/a/1', value: 'é', expectedRevision: NONE })).unwrap();
    t.is(made.type, 'swapped');
    const again = (await store.swap({ key: '/a/1', value: 'y', expectedRevision: NONE })).unwrap();
    const item = (await store.get('/a/1')).unwrap();
    t.is(item?.value, 'é');
    t.deepEqual(again, { type: 'conflict', current: item });
    t.is(made.type === 'swapped' ? made.revision : undefined, item?.revision);
    const gone = await store.swap({
      key: '/a/1',
      value: undefined,
      expectedRevision: item?.revision ?? NONE,
    });
    t.is(gone.unwrap().type, 'swapped');
    t.is((await store.get('/a/1')).unwrap(), undefined);
    await close();
  });

  test(`${name}: a list returns only the keys with its prefix`, async (t) => {
    const { store, close } = await build();
    for (const key of ['/a/2', '/a/1', '/b/1']) {
      await store.swap({ key, value: key, expectedRevision: NONE });
    }
    const { items, revision } = (await store.list('/a/')).unwrap();
    t.deepEqual(
      items.map(({ key }) => key),
      ['/a/1', '/a/2'],
    );
    t.is(Number(revision), 4);
    await close();
  });

  test(`${name}: a write without an answer has an unknown outcome, whether or not it took effect`, async (t) => {
    const { store, behind, close } = await build();
    behind.faults.answersToLose = 1;
    const effective = await store.swap({ key: '/a/1', value: 'x', expectedRevision: NONE });
    t.is(effective.err && effective.val.type, 'store-outcome-unknown');
    t.is((await store.get('/a/1')).unwrap()?.value, 'x');
    behind.faults.requestsToLose = 1;
    const lost = await store.swap({ key: '/a/2', value: 'x', expectedRevision: NONE });
    t.is(lost.err && lost.val.type, 'store-outcome-unknown');
    t.is((await store.get('/a/2')).unwrap(), undefined);
    await close();
  });

  test(`${name}: during an outage a write is sent once, fails and has no effect`, async (t) => {
    const { store, behind, close } = await build();
    behind.faults.down = true;
    const refused = await store.swap({ key: '/a/1', value: 'x', expectedRevision: NONE });
    t.is(refused.err && refused.val.type, 'store-unavailable');
    t.is(behind.meter.taken.write, 1);
    const unread = await store.get('/a/1');
    t.is(unread.err && unread.val.type, 'store-unavailable');
    behind.faults.down = false;
    t.is((await store.get('/a/1')).unwrap(), undefined);
    await close();
  });

  test(`${name}: the keys of a lease are deleted when it expires`, async (t) => {
    const { store, clock, close } = await build();
    const leaseId = (await store.grantLease(LEASE_MS)).unwrap();
    await store.swap({ key: '/a/1', value: 'x', expectedRevision: NONE, leaseId });
    clock.advanceTo(LEASE_MS - 1);
    t.is((await store.renewLease(leaseId)).unwrap(), LEASE_MS);
    clock.advanceTo(2 * LEASE_MS - 2);
    t.is((await store.get('/a/1')).unwrap()?.value, 'x');
    clock.advanceTo(2 * LEASE_MS);
    t.is((await store.get('/a/1')).unwrap(), undefined);
    t.is((await store.renewLease(leaseId)).unwrap(), 0);
    const late = await store.swap({ key: '/a/2', value: 'x', expectedRevision: NONE, leaseId });
    t.is(late.err && late.val.type, 'store-lease-lapsed');
    await close();
  });

  test(`${name}: the keys of a lease are deleted as soon as it is revoked`, async (t) => {
    const { store, close } = await build();
    const leaseId = (await store.grantLease(LEASE_MS)).unwrap();
    await store.swap({ key: '/a/1', value: 'x', expectedRevision: NONE, leaseId });
    (await store.revokeLease(leaseId)).unwrap();
    t.is((await store.get('/a/1')).unwrap(), undefined);
    t.is((await store.renewLease(leaseId)).unwrap(), 0);
    const late = await store.swap({ key: '/a/2', value: 'x', expectedRevision: NONE, leaseId });
    t.is(late.err && late.val.type, 'store-lease-lapsed');
    await close();
  });

  test(`${name}: a watch reports every change after its revision in order`, async (t) => {
    const { store, close } = await build();
    await store.swap({ key: '/a/1', value: 'x', expectedRevision: NONE });
    const watched = collect(store, 1 as Revision, 3);
    await store.swap({ key: '/b/1', value: 'x', expectedRevision: NONE });
    await store.swap({ key: '/a/1', value: 'y', expectedRevision: 2 as Revision });
    await store.swap({ key: '/a/1', value: undefined, expectedRevision: 4 as Revision });
    t.deepEqual(await watched, [
      { type: 'put', item: { key: '/a/1', value: 'x', revision: 2 as Revision } },
      { type: 'put', item: { key: '/a/1', value: 'y', revision: 4 as Revision } },
      { type: 'deleted', key: '/a/1', revision: 5 as Revision },
    ]);
    await close();
  });

  test(`${name}: a watch that is cut off, or that starts at a compacted revision, ends with that failure`, async (t) => {
    const { store, behind, close } = await build({ watchCutShare: 1 });
    const cut = collect(store, NONE, 1);
    await store.swap({ key: '/a/1', value: 'x', expectedRevision: NONE });
    const [ended] = await cut;
    t.is(ended?.type === 'ended' && ended.failure.type, 'store-unavailable');
    behind.model.compact();
    const [compacted] = await collect(store, NONE, 1);
    t.is(compacted?.type === 'ended' && compacted.failure.type, 'store-compacted');
    await close();
  });

  test(`${name}: a value of 1 MiB is accepted, a larger one is refused`, async (t) => {
    const { store, close } = await build();
    const value = 'x'.repeat(1_048_576);
    const taken = await store.swap({ key: '/a/1', value, expectedRevision: NONE });
    t.is(taken.unwrap().type, 'swapped');
    t.is((await store.get('/a/1')).unwrap()?.value.length, value.length);
    const refused = await store.swap({ key: '/a/2', value: `${value}x`, expectedRevision: NONE });
    t.is(refused.err && refused.val.type, 'store-refused');
    await close();
  });

  test(`${name}: calls above the store's rate limit are refused, and accepted ones are counted`, async (t) => {
    const clock = new VirtualClock();
    const behind = new MemoryStore({ clock, readsPerSecond: 2, writesPerSecond: 1 });
    await behind.get('/a/1');
    const stop = behind.watch('/a/', NONE, () => {});
    const refused = await behind.get('/a/1');
    t.is(refused.err && refused.val.type, 'store-rate-limited');
    t.deepEqual(behind.meter.taken, { read: 2, write: 0 });
    clock.advanceTo(1000);
    t.true((await behind.get('/a/1')).ok);
    stop();
  });
}

test('the driver refuses calls beyond its own rate limit without sending them', async (t) => {
  const behind = new MemoryStore();
  const server = new StoreServer(behind);
  const store = new EtcdStore({
    urls: [await server.listen()],
    readsPerSecond: 1,
    writesPerSecond: 1,
    timeoutMs: 2000,
    clock: new VirtualClock(),
    seed: 1,
  });
  t.true((await store.get('/a/1')).ok);
  const spent = await store.get('/a/1');
  t.is(spent.err && spent.val.type, 'store-rate-limited');
  t.is(behind.meter.taken.read, 1);
  await store.close();
  await server.close();
});

test('a write to a store that refuses connections fails as not sent', async (t) => {
  const server = new StoreServer(new MemoryStore());
  const urls = [await server.listen()];
  await server.close();
  const store = new EtcdStore({
    urls,
    readsPerSecond: 9,
    writesPerSecond: 9,
    timeoutMs: 2000,
    clock: systemClock,
    seed: 1,
  });
  const refused = await store.swap({ key: '/a/1', value: 'x', expectedRevision: NONE });
  t.is(refused.err && refused.val.type, 'store-unavailable');
  await store.close();
});

test('the driver switches to the next URL, and counts its calls by outcome', async (t) => {
  const gone = new StoreServer(new MemoryStore());
  const goneUrl = await gone.listen();
  await gone.close();
  const server = new StoreServer(new MemoryStore());
  const counted: string[] = [];
  const store = new EtcdStore({
    urls: [goneUrl, await server.listen()],
    readsPerSecond: 9,
    writesPerSecond: 9,
    timeoutMs: 2000,
    clock: systemClock,
    seed: 1,
    metrics: {
      count: (name, _value, tags) => counted.push(`${name} ${tags?.kind} ${tags?.outcome}`),
      gauge() {},
      histogram() {},
    },
  });
  const [ended] = await collect(store, NONE, 1);
  t.is(ended?.type, 'ended');
  const watched = collect(store, NONE, 1);
  const made = await store.swap({ key: '/a/1', value: 'x', expectedRevision: NONE });
  t.is(made.unwrap().type, 'swapped');
  t.is((await watched)[0]?.type, 'put');
  t.deepEqual(counted, [
    'store.calls watch opened',
    'store.calls watch opened',
    'store.calls write answered',
  ]);
  await store.close();
  await server.close();
});
