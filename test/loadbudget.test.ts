import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import { createView } from '../src/direct/orders/createview.js';
import { LoadBudget } from '../src/direct/orders/loadbudget.js';
import { Mover } from '../src/direct/orders/mover.js';
import type { OrderLeaseKeeper } from '../src/direct/orders/orderleasekeeper.js';
import type { ResidencyChanges } from '../src/direct/orders/residencychanges.js';
import type { UpstreamLink } from '../src/port/index.js';

const WINDOW_MS = 5000;
const PER_SECOND = 3;
const ORDER_TAKES_MS = 60;
const UPSTREAM: Upstream = {
  id: 'u1' as UpstreamId,
  service: 's' as ServiceId,
  address: '10.0.0.1:1',
  availabilityZone: 'z',
  slots: 8,
  isLeaving: false,
  models: new Map(),
  warm: new Set(),
  onDisk: new Set(),
};

test('a reserved load counts until it starts, and for a window from then on', (t) => {
  const budget = new LoadBudget(WINDOW_MS, 1);
  const whole = budget.left(PER_SECOND, 0);
  const startLoad = budget.reserve();
  t.is(budget.left(PER_SECOND, 0), whole - 1);
  t.is(budget.left(PER_SECOND, WINDOW_MS + 1000), whole - 1);
  startLoad(WINDOW_MS + 1000);
  t.is(budget.left(PER_SECOND, 2 * WINDOW_MS), whole - 1);
  t.is(budget.left(PER_SECOND, 2 * WINDOW_MS + 1001), whole);
});

test('a load counts for a whole window after its order was answered, as it may begin until then', async (t) => {
  const clock = new VirtualClock();
  const budget = new LoadBudget(WINDOW_MS, 1);
  const whole = budget.left(PER_SECOND, 0);
  const model = 'm1' as ModelId;
  const answer = () =>
    new Promise<'accepted'>((resolve) => {
      clock.after(ORDER_TAKES_MS, () => resolve('accepted'));
    });
  const mover = new Mover({
    clock,
    budget,
    log: { info() {}, warn() {}, error() {} },
    metrics: { count() {}, gauge() {}, histogram() {} },
    host: 'entry-1',
    lease: { epoch: 1, mayOrder: () => true } as unknown as OrderLeaseKeeper,
    link: { order: answer } as unknown as UpstreamLink,
    news: { add() {} } as unknown as ResidencyChanges,
    engineOf: () => ({
      models: new Map([[model, { sizeMb: 10, adapterSizeMb: 1 }]]),
      weightsMb: 100,
      adapterSlots: 2,
      loadsPerSecond: PER_SECOND,
    }),
    listSilentMs: () => 0,
    isListed: () => true,
  } as unknown as ConstructorParameters<typeof Mover>[0]);
  const view = { ...createView(UPSTREAM), orderCount: 0 };
  const move = { upstream: UPSTREAM.id, model, evicted: [], loadMs: 1000, isFromStore: true };
  const decision = { demand: new Map(), planAgeMs: 0 };
  void mover.move(view, UPSTREAM.service, { ...move, gain: 1, cost: 0 }, decision);
  for (let atMs = 0; atMs <= ORDER_TAKES_MS; atMs += 10) {
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    clock.advanceTo(atMs);
  }
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
  t.is(budget.left(PER_SECOND, WINDOW_MS + ORDER_TAKES_MS - 1), whole - 1);
  t.is(budget.left(PER_SECOND, WINDOW_MS + ORDER_TAKES_MS), whole);
});
