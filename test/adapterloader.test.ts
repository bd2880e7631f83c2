import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { ModelSpec, ServiceSpec } from '../src/core/routetable/index.js';
import { AdapterLoader } from '../src/direct/orders/adapterloader.js';
import { DemandEstimator } from '../src/direct/orders/demandestimator.js';
import type { FindAnswer } from '../src/direct/orders/index.js';
import { ResidencyChanges } from '../src/direct/orders/residencychanges.js';
import { createView } from '../src/direct/orders/createview.js';
import type { UpstreamView } from '../src/direct/orders/upstreamview.js';
import type { OrderLeaseKeeper } from '../src/direct/orders/orderleasekeeper.js';
import type { UpstreamLink } from '../src/port/index.js';

const MODEL = 'm1' as ModelId;
const SERVICE = 's' as ServiceId;
const ADAPTER_SLOTS = 2;
const ENGINE: NonNullable<ServiceSpec['engine']> = {
  weightsMb: 100,
  adapterSlots: ADAPTER_SLOTS,
  loadsPerSecond: 3,
  models: new Map([[MODEL, { sizeMb: 50, adapterSizeMb: 1 } as ModelSpec]]),
};
/** Enough time for an adapter to load. */
const LOADED_MS = 40;

interface SentOrder {
  readonly action: string;
  readonly adapter?: string;
}

/** One engine with a model; its adapter slots are occupied by a1 and a2. */
class TestEngine {
  readonly clock = new VirtualClock();

  readonly book = new DemandEstimator();

  readonly news = new ResidencyChanges();

  readonly orders: SentOrder[] = [];

  readonly view: UpstreamView;

  private readonly loader: AdapterLoader;

  constructor() {
    const adapters = new Set(['a1', 'a2']);
    this.view = {
      ...createView({
        id: 'u1' as UpstreamId,
        service: SERVICE,
        address: '10.0.0.1:1',
        availabilityZone: 'z',
        slots: 4,
        isLeaving: false,
        models: new Map([[MODEL, { version: 1, adapters }]]),
        warm: new Set(),
        onDisk: new Set(),
      }),
      orderCount: 0,
      models: new Map([[MODEL, { phase: 'ready', sinceMs: 0, adapters: new Set(adapters) }]]),
    };
    const link = {
      order: ({ action, adapter }: SentOrder) => {
        this.orders.push({ action, adapter });
        return Promise.resolve(action === 'load' ? 'accepted' : 'done');
      },
    } as unknown as UpstreamLink;
    const lease = { mayOrder: () => true, epoch: 7 } as unknown as OrderLeaseKeeper;
    const log = { info() {}, warn() {}, error() {} };
    const metrics = { count() {}, gauge() {}, histogram() {} };
    const context = {
      lease,
      link,
      clock: this.clock,
      log,
      metrics,
      host: 'entry-1',
      engineOf: () => ENGINE,
    };
    this.loader = new AdapterLoader(context, this.book, this.news);
    this.clock.advanceTo(10_000);
  }

  /** Reports that these adapters have requests at the engine now. */
  report(...busyAdapters: string[]): void {
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
    this.loader.tick();
    for (let round = 0; round < 40; round += 1) await Promise.resolve();
  }

  async load(adapter: string): Promise<FindAnswer> {
    let found: FindAnswer | undefined;
    void this.loader
      .ensureLoaded(() => [this.view], ENGINE, MODEL, adapter)
      .then((answer) => {
        found = answer;
      });
    const untilMs = this.clock.nowMs() + LOADED_MS;
    while (!found && this.clock.nowMs() < untilMs) {
      for (let round = 0; round < 20; round += 1) await Promise.resolve();
      this.clock.advanceTo(this.clock.nowMs() + 1);
    }
    return found!;
  }
}

test('an adapter in use is not evicted, even if it is the least recently requested one', async (t) => {
  const engine = new TestEngine();
  engine.book.adapterUsed(MODEL, 'a1', 1000);
  engine.book.adapterUsed(MODEL, 'a2', 5000);
  engine.report('a1');
  t.is((await engine.load('a3')).type, 'ready');
  t.deepEqual(engine.orders, [
    { action: 'unload', adapter: 'a2' },
    { action: 'load', adapter: 'a3' },
  ]);
});

test('an adapter requested a moment ago is not evicted, as its request is still to be sent', async (t) => {
  const engine = new TestEngine();
  engine.book.adapterUsed(MODEL, 'a1', 1000);
  engine.report('a1');
  engine.book.adapterUsed(MODEL, 'a2', engine.clock.nowMs() - 100);
  t.is((await engine.load('a3')).type, 'later');
  t.deepEqual(engine.orders, []);
});

test('no adapter in use is evicted until the request for another one starves', async (t) => {
  const engine = new TestEngine();
  let found: FindAnswer | undefined;
  const startedAtMs = engine.clock.nowMs();
  while (found?.type !== 'ready') {
    engine.report('a1', 'a2');
    found = await engine.load('a3');
    engine.clock.advanceTo(engine.clock.nowMs() + 50);
    if (engine.clock.nowMs() - startedAtMs < 400) t.deepEqual(engine.orders, []);
    if (engine.clock.nowMs() - startedAtMs > 2000) break;
  }
  t.is(found?.type, 'ready');
});

test('an adapter that was just loaded is not evicted, even if another request starves', async (t) => {
  const engine = new TestEngine();
  engine.view.models.get(MODEL)!.adapters.delete('a2');
  engine.report('a1');
  t.is((await engine.load('a3')).type, 'ready');
  for (let tries = 0; tries < 4; tries += 1) {
    engine.report('a1');
    t.is((await engine.load('a4')).type, 'later');
    engine.clock.advanceTo(engine.clock.nowMs() + 20);
  }
  t.deepEqual(engine.orders, [{ action: 'load', adapter: 'a3' }]);
});

test('an adapter without a free slot is loaded as soon as there is one, before its callers retry', async (t) => {
  const engine = new TestEngine();
  engine.report('a1', 'a2');
  const found = await engine.load('a3');
  t.deepEqual(found, { type: 'later', inMs: 300, isUnderWay: true });
  engine.report('a1');
  await engine.tick();
  t.deepEqual(engine.orders, [
    { action: 'unload', adapter: 'a2' },
    { action: 'load', adapter: 'a3' },
  ]);
});

test('an adapter that was not requested again is not loaded', async (t) => {
  const engine = new TestEngine();
  engine.report('a1', 'a2');
  await engine.load('a3');
  engine.clock.advanceTo(engine.clock.nowMs() + 2000);
  engine.report();
  await engine.tick();
  t.deepEqual(engine.orders, []);
});

test('concurrent requests for one adapter cause one order', async (t) => {
  const engine = new TestEngine();
  engine.view.models.get(MODEL)!.adapters.delete('a2');
  const answers = await Promise.all([engine.load('a3'), engine.load('a3')]);
  t.deepEqual(
    answers.map(({ type }) => type),
    ['ready', 'ready'],
  );
  t.deepEqual(engine.orders, [{ action: 'load', adapter: 'a3' }]);
});

test('an adapter is not reported as loaded before it has had time to load', async (t) => {
  const engine = new TestEngine();
  engine.view.models.get(MODEL)!.adapters.delete('a2');
  const cursor = engine.news.since(undefined, 7);
  const startedAtMs = engine.clock.nowMs();
  const found = await engine.load('a3');
  t.is(found.type, 'ready');
  t.true(engine.clock.nowMs() - startedAtMs >= 14);
  t.deepEqual(engine.news.since(cursor, 7).changes, [
    { upstream: 'u1' as UpstreamId, model: MODEL, adapter: 'a3', isThere: true },
  ]);
});

test('an entry receives each residency change once, and no old ones from a new holder', (t) => {
  const news = new ResidencyChanges();
  const change = { upstream: 'u1' as UpstreamId, model: MODEL, adapter: 'a1', isThere: false };
  const first = news.since(undefined, 7);
  news.add(change);
  const second = news.since(first, 7);
  t.deepEqual(second.changes, [change]);
  t.deepEqual(news.since(second, 7).changes, []);
  t.deepEqual(news.since(first, 8).changes, []);
});
