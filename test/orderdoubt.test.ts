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

interface SentOrder {
  readonly action: string;
  readonly model: ModelId;
  readonly adapter?: string;
  readonly expectedOrderCount: number;
}

type Wanted = Parameters<typeof sendOrder>[2];

/** An upstream of a load-aware service, whose answers and reports a test sets. */
class LoadAwareUpstream {
  readonly clock = new VirtualClock();

  readonly sent: SentOrder[] = [];

  readonly view = createView();

  outcome: 'unknown' | 'accepted' | 'done' = 'unknown';

  report = reportOf(4)!;

  async send(wanted: Wanted): Promise<string> {
    const link = {
      order: (order: SentOrder) => {
        this.sent.push(order);
        return Promise.resolve(this.outcome);
      },
      report: () => Promise.resolve(this.report),
    } as unknown as UpstreamLink;
    const lease = { mayOrder: () => true, epoch: 7 } as unknown as OrderLeaseKeeper;
    const log = { info() {}, warn() {}, error() {} };
    const metrics = { count() {}, gauge() {}, histogram() {} };
    const shared = { lease, link, clock: this.clock, log, metrics, host: 'entry-1' };
    const context = { ...shared, engineOf: () => ENGINE, isLoadAware: () => true };
    return sendOrder(context, this.view, wanted);
  }

  /** Adapters that the view counts at the model. */
  adapters(): readonly string[] {
    return [...this.view.models.get(MODEL)!.adapters].sort();
  }
}

const adapterLoad = (adapter: string): Wanted => ({ action: 'load', model: MODEL, adapter });

// Guards against engines out of use for 2.5 s after each order without an answer.
test('load-aware: the next order after one without an answer is sent at once and expects the same count', async (t) => {
  const upstream = new LoadAwareUpstream();
  t.is(await upstream.send(adapterLoad('a1')), 'unknown');
  upstream.outcome = 'accepted';
  t.is(await upstream.send(adapterLoad('a2')), 'accepted');
  const counts = upstream.sent.map(({ expectedOrderCount }) => expectedOrderCount);
  t.deepEqual(counts, [4, 4]);
  t.is(upstream.view.orderCount, 5);
  t.deepEqual(upstream.view.unconfirmed, []);
});

// Guards against a load that was carried out and is forgotten because its answer was lost.
test('load-aware: an order whose answer was lost counts as accepted once the count has passed it', async (t) => {
  const upstream = new LoadAwareUpstream();
  upstream.report = reportOf(5)!;
  t.is(await upstream.send(adapterLoad('a1')), 'accepted');
  t.deepEqual(upstream.adapters(), ['a1']);
  t.is(upstream.view.orderCount, 5);
});

// Guards against an order that is based on a report from before the one of two orders that was carried out.
test('load-aware: while it is unknown which of two orders was carried out, none is sent', async (t) => {
  const upstream = new LoadAwareUpstream();
  await upstream.send(adapterLoad('a1'));
  upstream.report = reportOf(5)!;
  t.is(await upstream.send(adapterLoad('a2')), 'unknown');
  t.is(upstream.view.orderCount, undefined);
  upstream.clock.advanceTo(340);
  t.is(await upstream.send(adapterLoad('a3')), 'resting');
  upstream.clock.advanceTo(360);
  const models = new Map([[MODEL, { version: 1, adapters: new Set(['a2']) }]]);
  upstream.report = { ...upstream.report, models };
  t.is(await upstream.send(adapterLoad('a3')), 'resting');
  t.deepEqual([upstream.sent.length, upstream.view.orderCount], [2, 5]);
  t.deepEqual(upstream.adapters(), ['a2']);
});

// Guards against an adapter that a report shows and that an own unload of 3 s before hides.
test('load-aware: an earlier unload does not hide an adapter whose load is unconfirmed', async (t) => {
  const upstream = new LoadAwareUpstream();
  upstream.view.done.set(`${MODEL}/a2`, { isThere: false, atMs: 0 });
  await upstream.send(adapterLoad('a1'));
  const models = new Map([[MODEL, { version: 1, adapters: new Set(['a2']) }]]);
  upstream.report = { ...reportOf(5)!, models };
  await upstream.send(adapterLoad('a2'));
  upstream.clock.advanceTo(360);
  await upstream.send(adapterLoad('a3'));
  t.deepEqual(upstream.adapters(), ['a2']);
});

// Guards against a late order that expects the count which the assumed effect of an unload would have given.
test('load-aware: after an unload without effect the count is unknown while an order is unconfirmed', async (t) => {
  const upstream = new LoadAwareUpstream();
  await upstream.send(adapterLoad('a1'));
  upstream.outcome = 'done';
  await upstream.send({ action: 'unload', model: MODEL, adapter: 'a9' });
  t.is(upstream.view.orderCount, undefined);
});

// Guards against a load that fits only if an unconfirmed order with a higher count is not carried out after it.
test('load-aware: a load that may be carried out after the next order takes its memory from it', async (t) => {
  const upstream = new LoadAwareUpstream();
  upstream.report = reportOf(3)!;
  await upstream.send({ action: 'load', model: OTHER });
  t.is(upstream.view.orderCount, 3);
  for (const model of ['m3', 'm4', 'm5', 'm6', 'm7', 'm8', 'm9', 'm10'] as ModelId[]) {
    upstream.view.models.set(model, { phase: 'ready', sinceMs: 0, adapters: new Set() });
  }
  t.is(await upstream.send({ action: 'load', model: 'm11' as ModelId }), 'no-room');
  upstream.view.models.delete('m10' as ModelId);
  upstream.outcome = 'accepted';
  t.is(await upstream.send({ action: 'load', model: 'm11' as ModelId }), 'accepted');
  t.is(upstream.view.unconfirmed.length, 1);
});
