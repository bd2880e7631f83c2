import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { ModelSpec, ServiceSpec } from '../src/core/routetable/index.js';
import { AdapterDesk } from '../src/direct/orders/adapterdesk.js';
import { DemandBook } from '../src/direct/orders/demandbook.js';
import type { FoundNeed } from '../src/direct/orders/index.js';
import { PlaceNews } from '../src/direct/orders/placenews.js';
import type { Track } from '../src/direct/orders/track.js';
import type { TurnKeeper } from '../src/direct/orders/turnkeeper.js';
import type { UpstreamLink } from '../src/port/index.js';

const MODEL = 'm1' as ModelId;
const SERVICE = 's' as ServiceId;
const PLACES = 2;
const ENGINE: NonNullable<ServiceSpec['engine']> = {
  weightsMb: 100,
  adapterSlots: PLACES,
  loadsPerSecond: 3,
  models: new Map<ModelId, ModelSpec>(),
};
/** Long enough for an adapter to be on its way and arrive. */
const ARRIVED_MS = 40;

interface SentOrder {
  readonly action: string;
  readonly adapter?: string;
}

/** One engine that holds a model, with its places for adapters taken by a1 and a2. */
class Bench {
  readonly clock = new VirtualClock();

  readonly book = new DemandBook();

  readonly news = new PlaceNews();

  readonly orders: SentOrder[] = [];

  readonly track: Track;

  private readonly desk: AdapterDesk;

  constructor() {
    const adapters = new Set(['a1', 'a2']);
    this.track = {
      info: {
        id: 'u1' as UpstreamId,
        service: SERVICE,
        address: '10.0.0.1:1',
        availabilityZone: 'z',
        slots: 4,
        isLeaving: false,
        models: new Map([[MODEL, { version: 1, adapters }]]),
        warm: new Set(),
        onDisk: new Set(),
      },
      orderCount: 0,
      done: new Map(),
      going: new Set(),
      doubt: undefined,
      models: new Map([[MODEL, { phase: 'ready', sinceMs: 0, adapters: new Set(adapters) }]]),
      isMoving: false,
      coming: 0,
      arriving: 0,
      restUntilMs: 0,
      turn: Promise.resolve(),
    };
    const link = {
      order: ({ action, adapter }: SentOrder) => {
        this.orders.push({ action, adapter });
        return Promise.resolve(action === 'load' ? 'accepted' : 'done');
      },
    } as unknown as UpstreamLink;
    const turn = { mayOrder: () => true, epoch: 7 } as unknown as TurnKeeper;
    const log = { info() {}, warn() {}, error() {} };
    const metrics = { count() {}, gauge() {}, histogram() {} };
    const tools = { turn, link, clock: this.clock, log, metrics, host: 'entry-1' };
    this.desk = new AdapterDesk(tools, this.book, this.news);
    this.clock.advanceTo(10_000);
  }

  /** An entry tells which adapters have requests at the engine now. */
  tell(...busyAdapters: string[]): void {
    const counts = {
      arrivals: 0,
      ended: 0,
      running: busyAdapters.length,
      waiting: 0,
      adapters: [],
    };
    const models = [{ service: SERVICE, model: MODEL, ...counts, busyAdapters }];
    this.book.take({ entry: 'e', address: 'a', models, lost: [] }, this.clock.nowMs());
  }

  async tick(): Promise<void> {
    this.desk.tick();
    for (let turn = 0; turn < 40; turn += 1) await Promise.resolve();
  }

  async bring(adapter: string): Promise<FoundNeed> {
    let found: FoundNeed | undefined;
    void this.desk
      .bring(() => [this.track], ENGINE, MODEL, adapter)
      .then((answer) => {
        found = answer;
      });
    const untilMs = this.clock.nowMs() + ARRIVED_MS;
    while (!found && this.clock.nowMs() < untilMs) {
      for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
      this.clock.advanceTo(this.clock.nowMs() + 1);
    }
    return found!;
  }
}

test('an adapter that a request uses stays, though it was asked for longest ago', async (t) => {
  const bench = new Bench();
  bench.book.used(MODEL, 'a1', 1000);
  bench.book.used(MODEL, 'a2', 5000);
  bench.tell('a1');
  t.is((await bench.bring('a3')).type, 'ready');
  t.deepEqual(bench.orders, [
    { action: 'unload', adapter: 'a2' },
    { action: 'load', adapter: 'a3' },
  ]);
});

test('one that was asked for a moment ago stays as well: its request is on its way', async (t) => {
  const bench = new Bench();
  bench.book.used(MODEL, 'a1', 1000);
  bench.tell('a1');
  bench.book.used(MODEL, 'a2', bench.clock.nowMs() - 100);
  t.is((await bench.bring('a3')).type, 'later');
  t.deepEqual(bench.orders, []);
});

test('while all are in use nothing is taken, until the one that is wanted starves', async (t) => {
  const bench = new Bench();
  let found: FoundNeed | undefined;
  const startedAtMs = bench.clock.nowMs();
  while (found?.type !== 'ready') {
    bench.tell('a1', 'a2');
    found = await bench.bring('a3');
    bench.clock.advanceTo(bench.clock.nowMs() + 50);
    if (bench.clock.nowMs() - startedAtMs < 400) t.deepEqual(bench.orders, []);
    if (bench.clock.nowMs() - startedAtMs > 2000) break;
  }
  t.is(found?.type, 'ready');
});

test('one that has just been ordered is not taken for another, however long that waits', async (t) => {
  const bench = new Bench();
  bench.track.models.get(MODEL)!.adapters.delete('a2');
  bench.tell('a1');
  t.is((await bench.bring('a3')).type, 'ready');
  for (let tries = 0; tries < 4; tries += 1) {
    bench.tell('a1');
    t.is((await bench.bring('a4')).type, 'later');
    bench.clock.advanceTo(bench.clock.nowMs() + 20);
  }
  t.deepEqual(bench.orders, [{ action: 'load', adapter: 'a3' }]);
});

test('one that found no place is brought as soon as there is one: whoever was told to come back finds it', async (t) => {
  const bench = new Bench();
  bench.tell('a1', 'a2');
  const found = await bench.bring('a3');
  t.deepEqual(found, { type: 'later', inMs: 300, isUnderWay: true });
  bench.tell('a1');
  await bench.tick();
  t.deepEqual(bench.orders, [
    { action: 'unload', adapter: 'a2' },
    { action: 'load', adapter: 'a3' },
  ]);
});

test('one that nobody has asked for again is not brought', async (t) => {
  const bench = new Bench();
  bench.tell('a1', 'a2');
  await bench.bring('a3');
  bench.clock.advanceTo(bench.clock.nowMs() + 2000);
  bench.tell();
  await bench.tick();
  t.deepEqual(bench.orders, []);
});

test('entries that ask for one adapter at the same time cause one order', async (t) => {
  const bench = new Bench();
  bench.track.models.get(MODEL)!.adapters.delete('a2');
  const answers = await Promise.all([bench.bring('a3'), bench.bring('a3')]);
  t.deepEqual(
    answers.map(({ type }) => type),
    ['ready', 'ready'],
  );
  t.deepEqual(bench.orders, [{ action: 'load', adapter: 'a3' }]);
});

test('nobody is told that an adapter is there before it has had time to arrive', async (t) => {
  const bench = new Bench();
  bench.track.models.get(MODEL)!.adapters.delete('a2');
  const mark = bench.news.since(undefined, 7);
  const startedAtMs = bench.clock.nowMs();
  const found = await bench.bring('a3');
  t.is(found.type, 'ready');
  t.true(bench.clock.nowMs() - startedAtMs >= 14);
  t.deepEqual(bench.news.since(mark, 7).changes, [
    { upstream: 'u1' as UpstreamId, model: MODEL, adapter: 'a3', isThere: true },
  ]);
});

test('an entry hears each change once, and nothing old from a new holder', (t) => {
  const news = new PlaceNews();
  const change = { upstream: 'u1' as UpstreamId, model: MODEL, adapter: 'a1', isThere: false };
  const first = news.since(undefined, 7);
  news.add(change);
  const second = news.since(first, 7);
  t.deepEqual(second.changes, [change]);
  t.deepEqual(news.since(second, 7).changes, []);
  t.deepEqual(news.since(first, 8).changes, []);
});
