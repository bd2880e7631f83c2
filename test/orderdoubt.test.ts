import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { ModelSpec, ServiceSpec } from '../src/core/routetable/index.js';
import type { UpstreamLink } from '../src/port/index.js';
import { sendOrder } from '../src/direct/orders/sendorder.js';
import { createView as createUpstreamView } from '../src/direct/orders/createview.js';
import type { UpstreamView } from '../src/direct/orders/upstreamview.js';
import type { OrderLeaseKeeper } from '../src/direct/orders/orderleasekeeper.js';

const MODEL = 'm1' as ModelId;
const OTHER = 'm2' as ModelId;

const SPEC = { sizeMb: 10, adapterSizeMb: 1 } as ModelSpec;
const ENGINE: NonNullable<ServiceSpec['engine']> = {
  weightsMb: 100,
  adapterSlots: 4,
  loadsPerSecond: 1,
  models: new Map([MODEL, OTHER].map((model) => [model, SPEC])),
};

type Report = Awaited<ReturnType<UpstreamLink['report']>>;

/** Report of an upstream that has one model without adapters and has accepted `orderCount` orders. */
function reportOf(orderCount: number): Report {
  const models = new Map([[MODEL, { version: 1, adapters: new Set<string>() }]]);
  return { orderCount, isBusy: false, models };
}

function createView(): UpstreamView {
  const models = new Map([[MODEL, { version: 1, adapters: new Set<string>() }]]);
  return {
    ...createUpstreamView({
      id: 'u1' as UpstreamId,
      service: 's' as ServiceId,
      address: '10.0.0.1:1',
      availabilityZone: 'z',
      slots: 4,
      isLeaving: false,
      models,
      warm: new Set(),
      onDisk: new Set(),
    }),
    orderCount: 4,
    models: new Map([[MODEL, { phase: 'ready', sinceMs: 0, adapters: new Set() }]]),
  };
}

let sentCount = 0;

/** Sends a load that gets no answer, then another one, before which the upstream's report is requested. */
async function afterUnconfirmed(
  adapter: string | undefined,
  orderCount: number,
): Promise<UpstreamView> {
  const clock = new VirtualClock();
  const link = {
    order: () => {
      sentCount += 1;
      return Promise.resolve('unknown' as const);
    },
    report: () => Promise.resolve(reportOf(orderCount)),
  } as unknown as UpstreamLink;
  const lease = { mayOrder: () => true, epoch: 7 } as unknown as OrderLeaseKeeper;
  const log = { info() {}, warn() {}, error() {} };
  const metrics = { count() {}, gauge() {}, histogram() {} };
  const context = { lease, link, clock, log, metrics, host: 'entry-1', engineOf: () => ENGINE };
  const view = createView();
  const model = adapter === undefined ? OTHER : MODEL;
  await sendOrder(context, view, { action: 'load', model, adapter });
  clock.advanceTo(3000);
  await sendOrder(context, view, { action: 'load', model: MODEL, adapter: 'a9' });
  return view;
}

test.serial(
  'an adapter whose order was carried out late occupies its slot, though the report lacks it',
  async (t) => {
    const view = await afterUnconfirmed('a1', 5);
    t.true(view.models.get(MODEL)!.adapters.has('a1'));
  },
);

test.serial(
  'a model whose order was carried out late occupies its memory, though the report lacks it',
  async (t) => {
    const view = await afterUnconfirmed(undefined, 5);
    t.is(view.models.get(OTHER)?.phase, 'loading');
  },
);

test.serial(
  'an order that was not carried out occupies none: the next order invalidates it',
  async (t) => {
    t.false((await afterUnconfirmed('a1', 4)).models.get(MODEL)!.adapters.has('a1'));
    t.false((await afterUnconfirmed(undefined, 4)).models.has(OTHER));
  },
);

test.serial(
  'an order that was decided before the upstream reported its residency is not sent',
  async (t) => {
    sentCount = 0;
    const view = await afterUnconfirmed('a1', 5);
    t.is(sentCount, 1);
    t.is(view.orderCount, 5);
  },
);
