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
import { OrderDesk } from '../src/direct/orders/index.js';
import type { FoundNeed } from '../src/direct/orders/foundneed.js';
import type { TurnKeeper } from '../src/direct/orders/turnkeeper.js';
import type { UpstreamLink } from '../src/port/index.js';

const SERVICE = 's' as ServiceId;
const MODEL = 'm1' as ModelId;
const PLACES = 2;
const SILENCE_MS = 8000;

type Order = Parameters<UpstreamLink['order']>[0];

/** One engine, and the desk that gives it orders about adapters, in virtual time. */
class World {
  readonly clock = new VirtualClock();

  /** What the engine truly holds, and the most that it ever did. */
  readonly held = new Set<string>();

  mostHeld = 0;

  private orderCount = 0;

  private regainedAtMs: Ms = -Infinity;

  private isSilent = false;

  readonly desk: OrderDesk;

  constructor() {
    const link = {
      order: (order: Order) => Promise.resolve(this.take(order)),
      report: () => Promise.resolve(this.report()),
    } as unknown as UpstreamLink;
    const turn = {
      epoch: 1,
      mayOrder: () => true,
      isHolder: () => true,
      ordersInMs: () => 0,
    } as unknown as TurnKeeper;
    this.desk = new OrderDesk({
      turn,
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
      promptsPerPause: () => undefined,
    });
    const engine = { models: new Map(), adapterSlots: PLACES, loadsPerSecond: 1 };
    const services = new Map([[SERVICE, { id: SERVICE, engine }]]);
    this.desk.table = { services } as unknown as RouteTable;
    this.tell();
    this.desk.took(true);
  }

  /** The list tells this of the engine. */
  tell(...adapters: string[]): void {
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
    this.desk.upstream(info);
  }

  setSilent(isSilent: boolean): void {
    if (this.isSilent && !isSilent) this.regainedAtMs = this.clock.nowMs();
    this.isSilent = isSilent;
  }

  async bring(adapter: string): Promise<void> {
    let found: FoundNeed | undefined;
    void this.desk.find({ service: SERVICE, model: MODEL, adapter }).then((said) => {
      found = said;
    });
    while (!found) await this.pass(5);
  }

  async pass(ms: Ms): Promise<void> {
    const untilMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < untilMs) {
      for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
      this.clock.advanceTo(Math.min(untilMs, this.clock.nowMs() + 5));
      if (this.clock.nowMs() % 100 === 0) this.desk.tick();
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

// Guards against memory that is overcommitted: after a silence the list tells of a time before the newest orders.
test('what was ordered before the list fell silent is not forgotten when it comes back with older words', async (t) => {
  const world = new World();
  await world.bring('a1');
  world.setSilent(true);
  await world.bring('a2');
  await world.pass(SILENCE_MS);
  world.setSilent(false);
  world.tell();
  for (let at = 0; at < 10; at += 1) {
    await world.bring('a3');
    await world.pass(50);
  }
  t.is(world.mostHeld, PLACES);
});

test('once the list can tell of now again, the engine is asked and the list is believed', async (t) => {
  const world = new World();
  await world.bring('a1');
  world.setSilent(true);
  await world.pass(SILENCE_MS);
  world.setSilent(false);
  // Somebody else has changed it meanwhile, and the list's word of that is passed over.
  world.held.clear();
  world.held.add('b1');
  world.held.add('b2');
  world.tell('b1', 'b2');
  await world.pass(SILENCE_MS);
  for (let at = 0; at < 10; at += 1) {
    await world.bring('a3');
    await world.pass(50);
  }
  t.is(world.mostHeld, PLACES);
  t.true(world.held.has('a3'));
});
