import test from 'ava';
import fc from 'fast-check';
import {
  result,
  VirtualClock,
  type ModelId,
  type Revision,
  type UpstreamId,
} from '../src/base/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import type { ChangeFeed, UpstreamLink } from '../src/port/index.js';
import { refresh } from '../src/direct/orders/refresh.js';
import type { OrderContext } from '../src/direct/orders/ordercontext.js';
import { createView as createUpstreamView } from '../src/direct/orders/createview.js';
import type { UpstreamView } from '../src/direct/orders/upstreamview.js';
import { Follower, paceTable } from '../src/direct/sync/index.js';
import { codec } from '../platform/codec.js';
import { decodeReport } from '../platform/decodereport.js';

const SILENT = { info() {}, warn() {}, error() {} };
const ENTRY = {
  service: 's',
  address: '10.0.0.1:1',
  zone: 'z',
  version: 'v1',
  slots: 4,
  state: 'ready',
  cold_remaining_ms: 0,
  seq: 3,
  born: 1_700_000_000_000,
  models: [{ name: 'm1', version: 2, adapters: ['a1', { name: 'a2', version: 1 }] }],
  at_hand: { in_memory: ['m2'], on_disk: ['m3'] },
};

interface Observed {
  readonly events: string[];
  readonly logged: string[];
}

/** Writes these values one after the other under one key; returns the listener's events and the error log. */
async function observe(values: readonly string[], other?: string): Promise<Observed> {
  const clock = new VirtualClock();
  const events: string[] = [];
  const logged: string[] = [];
  const changes = values.map((value, at) => ({
    type: 'put' as const,
    item: { key: 'servers/u1', value, revision: (at + 2) as Revision },
  }));
  let told = 0;
  const feed = {
    list: () => {
      const items = other === undefined ? [] : [{ key: 'servers/u2', value: other, revision: 1 }];
      return Promise.resolve(result.Ok({ items, revision: 1 }));
    },
    changes: () => {
      const change = changes[told];
      told += 1;
      if (!change) return new Promise(() => {});
      return Promise.resolve(result.Ok({ changes: [change], revision: change.item.revision }));
    },
  } as unknown as ChangeFeed;
  const note = (event: string) => (upstream: Upstream) => {
    events.push(`${event} ${upstream.id} ${upstream.startedAtMs}`);
  };
  const listener = {
    setTable() {},
    upstream: note('put'),
    upstreamRestarted: note('restarted'),
    upstreamGone(id: UpstreamId) {
      events.push(`gone ${id}`);
    },
    ownKeyChanged() {},
    complete() {},
  };
  const log = { ...SILENT, error: (message: string) => logged.push(message) };
  const pace = () => paceTable.alone;
  void new Follower({ feed, codec, listener, clock, log, pace, heartbeatMs: 1200 }).run();
  for (let step = 0; step < 400; step += 1) {
    for (let round = 0; round < 5; round += 1) await Promise.resolve();
    clock.advanceTo(clock.nowMs() + 10);
  }
  return { events, logged };
}

function entry(born: number | undefined): string {
  return JSON.stringify({ ...ENTRY, born });
}

test('a newer start under the same id is a restart, and a late record of an older start is ignored', async (t) => {
  const { events } = await observe([entry(10), entry(10), entry(20), entry(10), entry(20)]);
  t.deepEqual(events, ['put u1 10', 'put u1 10', 'restarted u1 20', 'put u1 20']);
});

test('a record by another writer is logged once and drops its upstream only', async (t) => {
  const foreign = ['{', '{', '[]', JSON.stringify({ ...ENTRY, state: 'resting' })];
  const { events, logged } = await observe([entry(10), ...foreign, entry(10)], entry(5));
  t.deepEqual(events, ['put u2 5', 'put u1 10', 'gone u1', 'put u1 10']);
  t.is(logged.length, 2, 'one line for each key and reason');
});

/** True if each field that is used has the declared type. */
function isSound(upstream: Upstream): boolean {
  const { service, address, availabilityZone, slots, isLeaving, models, warm, onDisk } = upstream;
  const texts = [service, address, availabilityZone, ...warm, ...onDisk, ...models.keys()];
  for (const { adapters } of models.values()) texts.push(...(adapters as ReadonlySet<never>));
  if (texts.some((text) => typeof text !== 'string' || text === '')) return false;
  const { startedAtMs, leavesInMs } = upstream;
  const numbers = [slots, startedAtMs ?? 0, leavesInMs ?? 0];
  return typeof isLeaving === 'boolean' && numbers.every((one) => Number.isFinite(one));
}

test('records with missing or mistyped fields are never decoded partially', (t) => {
  const name = fc.constantFrom(...Object.keys(ENTRY), 'remaining_ms');
  const value = fc.oneof(fc.jsonValue({ maxDepth: 2 }), fc.constant(undefined));
  let readable = 0;
  fc.assert(
    fc.property(fc.array(fc.tuple(name, value), { maxLength: 3 }), (changes) => {
      const text = JSON.stringify({ ...ENTRY, ...Object.fromEntries(changes) });
      const decoded = codec.decodeUpstream('u1', text);
      if (decoded.ok) {
        readable += 1;
        t.true(isSound(decoded.val), text);
      }
    }),
    { numRuns: 5000 },
  );
  t.true(readable > 0);
  t.true(codec.decodeUpstream('u1', JSON.stringify(ENTRY)).ok);
});

test('invalid JSON yields no upstream', (t) => {
  const cutJson = fc.json().map((text) => text.slice(0, -1));
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json(), cutJson), (text) => {
      const decoded = codec.decodeUpstream('u1', text);
      t.true(decoded.err || isSound(decoded.val));
    }),
  );
  t.pass();
});

function createView(startedAtMs: number): UpstreamView {
  const info = (codec.decodeUpstream('u1', entry(startedAtMs)) as { val: Upstream }).val;
  const held = { phase: 'ready' as const, sinceMs: 0, adapters: new Set<string>() };
  const unconfirmed = { action: 'load' as const, model: 'm9' as ModelId, expectedOrderCount: 1 };
  return {
    ...createUpstreamView(info),
    orderCount: 7,
    done: new Map([['m1/a7', { isThere: true, atMs: 0 }]]),
    unloadingAdapters: new Set(['m1/a8']),
    unconfirmed: [unconfirmed],
    models: new Map([['m1' as ModelId, held]]),
  };
}

async function refreshed(view: UpstreamView, born: number): Promise<UpstreamView> {
  const report = decodeReport(JSON.stringify({ born, seq: 2, busy: false, models: [] }));
  const link = { report: () => Promise.resolve(report) } as unknown as UpstreamLink;
  const clock = new VirtualClock();
  clock.advanceTo(60_000);
  await refresh({ link, clock, log: SILENT } as unknown as OrderContext, view);
  return view;
}

test('a report of a newer start discards earlier orders and their count', async (t) => {
  const view = await refreshed(createView(10), 20);
  t.is(view.orderCount, 2);
  t.is(view.info.startedAtMs, 20);
  t.deepEqual(view.unconfirmed, []);
  t.is(view.models.size, 0);
  t.is(view.done.size + view.unloadingAdapters.size, 0);
});

test('a report of an older start changes nothing', async (t) => {
  const view = await refreshed(createView(10), 5);
  t.is(view.orderCount, 7);
  t.is(view.info.startedAtMs, 10);
  t.is(view.models.size, 1);
  t.is(view.unconfirmed.length, 1);
});
