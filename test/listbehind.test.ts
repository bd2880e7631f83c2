import test from 'ava';
import {
  VirtualClock,
  type ModelId,
  type Ms,
  type ServiceId,
  type UpstreamId,
} from '../src/base/index.js';
import type { RouteTable } from '../src/core/routetable/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import { OrderDispatcher } from '../src/direct/orders/index.js';
import type { FindAnswer } from '../src/direct/orders/findanswer.js';
import type { OrderLeaseKeeper } from '../src/direct/orders/orderleasekeeper.js';
import type { UpstreamLink } from '../src/port/index.js';

const SERVICE = 's' as ServiceId;
const MODEL = 'm1' as ModelId;
const ADAPTER_SLOTS = 2;
const OUTAGE_MS = 8000;

type Order = Parameters<UpstreamLink['order']>[0];

/** One engine, and the order dispatcher that sends it orders about adapters, in virtual time. */
class World {
  readonly clock = new VirtualClock();

  /** Adapters that the engine really has, and their greatest number so far. */
  readonly held = new Set<string>();

  mostHeld = 0;

  private orderCount = 0;

  private regainedAtMs: Ms = -Infinity;

  private isSilent = false;

  readonly dispatcher: OrderDispatcher;

  constructor() {
    const link = {
      order: (order: Order) => Promise.resolve(this.take(order)),
      report: () => Promise.resolve(this.report()),
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
      listSilentMs: () => (this.isSilent ? 1 : 0),
      listSteadyMs: () => (this.isSilent ? 0 : this.clock.nowMs() - this.regainedAtMs),
      loadOf: () => 0,
      limitOf: () => undefined,
      promptsPerGap: () => undefined,
    });
    const models = new Map([[MODEL, { sizeMb: 10, adapterSizeMb: 1 }]]);
    const engine = { models, weightsMb: 100, adapterSlots: ADAPTER_SLOTS, loadsPerSecond: 1 };
    const services = new Map([[SERVICE, { id: SERVICE, engine }]]);
    this.dispatcher.table = { services } as unknown as RouteTable;
    this.setList();
    this.dispatcher.leaseTaken(true);
  }

  /** Makes the list show these adapters at the engine. */
  setList(...adapters: string[]): void {
    const info: Upstream = {
      id: 'u1' as UpstreamId,
      service: SERVICE,
      address: '10.0.0.1:1',
      availabilityZone: 'z',
      slots: 4,
      isLeaving: false,
      models: new Map([[MODEL, { version: 1, adapters: new Set(adapters) }]]),
      warm: new Set(),
      onDisk: new Set(),
    };
    this.dispatcher.upstream(info);
  }

  setOutage(isSilent: boolean): void {
    if (this.isSilent && !isSilent) this.regainedAtMs = this.clock.nowMs();
    this.isSilent = isSilent;
  }

  async load(adapter: string): Promise<void> {
    let found: FindAnswer | undefined;
    void this.dispatcher.find({ service: SERVICE, model: MODEL, adapter }).then((answer) => {
      found = answer;
    });
    while (!found) await this.pass(5);
  }

  async pass(ms: Ms): Promise<void> {
    const untilMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < untilMs) {
      for (let round = 0; round < 20; round += 1) await Promise.resolve();
      this.clock.advanceTo(Math.min(untilMs, this.clock.nowMs() + 5));
      if (this.clock.nowMs() % 100 === 0) this.dispatcher.tick();
    }
  }

  private take({ action, adapter = '', expectedOrderCount }: Order): string {
    if (expectedOrderCount !== this.orderCount) return 'conflict';
    this.orderCount += 1;
    if (action === 'load') this.held.add(adapter);
    else this.held.delete(adapter);
    this.mostHeld = Math.max(this.mostHeld, this.held.size);
    return action === 'load' ? 'accepted' : 'done';
  }

  private report(): Awaited<ReturnType<UpstreamLink['report']>> {
    const models = new Map([[MODEL, { version: 1, adapters: new Set(this.held) }]]);
    return { orderCount: this.orderCount, isBusy: false, models };
  }
}

// Guards against overcommitted memory: right after an outage the list shows a state from before the latest orders.
test('orders sent before an outage of the list still count when it returns with older state', async (t) => {
  const world = new World();
  await world.load('a1');
  world.setOutage(true);
  await world.load('a2');
  await world.pass(OUTAGE_MS);
  world.setOutage(false);
  world.setList();
  for (let at = 0; at < 10; at += 1) {
    await world.load('a3');
    await world.pass(50);
  }
  t.is(world.mostHeld, ADAPTER_SLOTS);
});

test('once the list is current again, the engine is asked for its state and the list is trusted', async (t) => {
  const world = new World();
  await world.load('a1');
  world.setOutage(true);
  await world.pass(OUTAGE_MS);
  world.setOutage(false);
  // Another process has changed the engine meanwhile, and the list's update of that is ignored.
  world.held.clear();
  world.held.add('b1');
  world.held.add('b2');
  world.setList('b1', 'b2');
  await world.pass(OUTAGE_MS);
  for (let at = 0; at < 10; at += 1) {
    await world.load('a3');
    await world.pass(50);
  }
  t.is(world.mostHeld, ADAPTER_SLOTS);
  t.true(world.held.has('a3'));
});
