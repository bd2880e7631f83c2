import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { UpstreamLink } from '../src/port/index.js';
import { sendOrder } from '../src/direct/orders/sendorder.js';
import type { Track } from '../src/direct/orders/track.js';
import type { TurnKeeper } from '../src/direct/orders/turnkeeper.js';

const MODEL = 'm1' as ModelId;
const OTHER = 'm2' as ModelId;

type Report = Awaited<ReturnType<UpstreamLink['report']>>;

/** What the upstream says: it holds one model without adapters, and has taken so many orders. */
function reportOf(orderCount: number): Report {
  const models = new Map([[MODEL, { version: 1, adapters: new Set<string>() }]]);
  return { orderCount, isBusy: false, models };
}

function trackOf(): Track {
  const models = new Map([[MODEL, { version: 1, adapters: new Set<string>() }]]);
  return {
    info: {
      id: 'u1' as UpstreamId,
      service: 's' as ServiceId,
      address: '10.0.0.1:1',
      availabilityZone: 'z',
      slots: 4,
      isLeaving: false,
      models,
      warm: new Set(),
      onDisk: new Set(),
    },
    orderCount: 4,
    done: new Map(),
    going: new Set(),
    doubt: undefined,
    models: new Map([[MODEL, { phase: 'ready', sinceMs: 0, adapters: new Set() }]]),
    isMoving: false,
    coming: 0,
    arriving: 0,
    restUntilMs: 0,
    turn: Promise.resolve(),
  };
}

let sentCount = 0;

/** Sends a load that gets no answer, then another, before which the upstream is asked what it holds. */
async function inDoubt(adapter: string | undefined, orderCount: number): Promise<Track> {
  const clock = new VirtualClock();
  const link = {
    order: () => {
      sentCount += 1;
      return Promise.resolve('unknown' as const);
    },
    report: () => Promise.resolve(reportOf(orderCount)),
  } as unknown as UpstreamLink;
  const turn = { mayOrder: () => true, epoch: 7 } as unknown as TurnKeeper;
  const log = { info() {}, warn() {}, error() {} };
  const metrics = { count() {}, gauge() {}, histogram() {} };
  const tools = { turn, link, clock, log, metrics, host: 'entry-1' };
  const track = trackOf();
  const model = adapter === undefined ? OTHER : MODEL;
  await sendOrder(tools, track, { action: 'load', model, adapter });
  clock.advanceTo(3000);
  await sendOrder(tools, track, { action: 'load', model: MODEL, adapter: 'a9' });
  return track;
}

test.serial(
  'an adapter whose order was carried out late takes its place, though the report lacks it',
  async (t) => {
    const track = await inDoubt('a1', 5);
    t.true(track.models.get(MODEL)!.adapters.has('a1'));
  },
);

test.serial(
  'a model whose order was carried out late takes its room, though the report lacks it',
  async (t) => {
    const track = await inDoubt(undefined, 5);
    t.is(track.models.get(OTHER)?.phase, 'loading');
  },
);

test.serial('one that was not carried out takes none: the next order makes it void', async (t) => {
  t.false((await inDoubt('a1', 4)).models.get(MODEL)!.adapters.has('a1'));
  t.false((await inDoubt(undefined, 4)).models.has(OTHER));
});

test.serial(
  'an order decided before the upstream was asked what it holds is not sent',
  async (t) => {
    sentCount = 0;
    const track = await inDoubt('a1', 5);
    t.is(sentCount, 1);
    t.is(track.orderCount, 5);
  },
);
