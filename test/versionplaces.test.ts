import test from 'ava';
import { VirtualClock } from '../src/base/index.js';
import type { ModelId, Ms, ServiceId, UpstreamId } from '../src/base/index.js';
import type { RouteTable } from '../src/core/routetable/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import { OrderDispatcher } from '../src/direct/orders/index.js';
import type { OrderLeaseKeeper } from '../src/direct/orders/orderleasekeeper.js';
import type { UpstreamLink } from '../src/port/index.js';

type Order = Parameters<UpstreamLink['order']>[0];

const SERVICE = 's' as ServiceId;
const MODEL = 'm1' as ModelId;
const TARGET = { service: SERVICE, model: MODEL };
/** No plan is made until the upstreams and the demand have been known for some seconds. */
const SETTLED_MS = 10_000;

/** An order dispatcher of engines of several software versions, in virtual time, and the orders that it sends. */
class World {
  readonly orders: string[] = [];

  readonly dispatcher: OrderDispatcher;

  private readonly clock = new VirtualClock();

  constructor() {
    const link = {
      order: ({ upstream, action, model }: Order) => {
        this.orders.push(`${action} ${model} ${upstream}`);
        return Promise.resolve('accepted');
      },
      report: () => Promise.resolve(undefined),
    } as unknown as UpstreamLink;
    const lease = {
      epoch: 1,
      mayOrder: () => true,
      isHolder: () => true,
      ordersInMs: () => 0,
    } as unknown as OrderLeaseKeeper;
    this.dispatcher = new OrderDispatcher({
      lease,
      link,
      clock: this.clock,
      log: { info() {}, warn() {}, error() {} },
      metrics: { count() {}, gauge() {}, histogram() {} },
      host: 'entry-1',
      loadWindowMs: 5000,
      loadOvershoot: 1,
      listSilentMs: () => 0,
      listSteadyMs: () => Infinity,
      loadOf: () => 0,
      limitOf: () => undefined,
      promptsPerGap: () => undefined,
    });
    const times = { loadMs: 1200, diskLoadMs: 500, warmLoadMs: 400 };
    const spec = { id: MODEL, sizeMb: 10, adapterCount: 0, adapterSizeMb: 0, ...times };
    const models = new Map([[MODEL, spec]]);
    const engine = { models, weightsMb: 100, adapterSlots: 2, loadsPerSecond: 4 };
    const services = new Map([[SERVICE, { id: SERVICE, engine }]]);
    this.dispatcher.table = { services } as unknown as RouteTable;
    this.list('u1', 'v1.1', [MODEL]);
    this.list('u2', 'v1.1', [MODEL]);
    this.list('u3', 'v1', []);
    this.dispatcher.leaseTaken(true);
  }

  private list(id: string, softwareVersion: string, models: readonly ModelId[]): void {
    const info: Upstream = {
      id: id as UpstreamId,
      service: SERVICE,
      address: id,
      availabilityZone: 'z',
      slots: 4,
      isLeaving: false,
      softwareVersion,
      models: new Map(models.map((model) => [model, { version: 1, adapters: new Set() }])),
      warm: new Set(),
      onDisk: new Set(),
    };
    this.dispatcher.upstream(info);
  }

  async pass(ms: Ms): Promise<void> {
    const untilMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < untilMs) {
      for (let round = 0; round < 20; round += 1) await Promise.resolve();
      this.clock.advanceTo(Math.min(untilMs, this.clock.nowMs() + 5));
      if (this.clock.nowMs() % 100 === 0) this.dispatcher.tick();
    }
  }
}

// Guards against an answer that names a time for a load which nobody orders.
test('a model is ordered at the version at which a stream asks for it, and the answer says that it is loading', async (t) => {
  const world = new World();
  await world.pass(SETTLED_MS);
  t.deepEqual(world.orders, []);
  const origin = { service: SERVICE, softwareVersion: 'v1', weightsVersion: '1' };
  const first = await world.dispatcher.find({ ...TARGET, origin });
  t.is(first.type, 'later');
  await world.pass(200);
  t.deepEqual(world.orders, ['load m1 u3']);
  const second = await world.dispatcher.find({ ...TARGET, origin });
  t.true(second.type === 'later' && second.isUnderWay && second.inMs > 0);
});

// Guards against loads at each version for requests that begin a stream.
test('a request that continues no stream causes no load at a version without a replica', async (t) => {
  const world = new World();
  await world.pass(SETTLED_MS);
  t.is((await world.dispatcher.find(TARGET)).type, 'ready');
  await world.pass(500);
  t.deepEqual(world.orders, []);
});
